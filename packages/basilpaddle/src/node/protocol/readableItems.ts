import { z } from "zod";

/** An array without the items that `item` refuses: a single one that can't be read must not cost its reader the whole message. */
export function readableItems<T>(item: z.ZodType<T>): z.ZodType<T[]> {
    return z.array(z.unknown()).transform(values =>
        values.flatMap(value => {
            const parsed = item.safeParse(value);
            return parsed.success ? [parsed.data] : [];
        })
    );
}
