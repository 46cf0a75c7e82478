import { type Either, Left, Right } from "purify-ts";
import {
    type Finding,
    findingsFromZodError,
    type RoutingSettings,
    routingSettingsSchema,
} from "../../protocol/index.js";
import { printWaitNotice, readWhenComplete, type WaitNotice } from "./settingsFile.js";

/** Reads the settings file of a gateway or a directory. Waits for a file that is still being written. */
export async function readRoutingSettings(
    file: string,
    notice: WaitNotice = printWaitNotice,
): Promise<Either<readonly Finding[], RoutingSettings>> {
    const content = await readWhenComplete(file, notice);
    return content.mapLeft((finding): readonly Finding[] => [finding]).chain(text => parseRoutingSettings(file, text));
}

/** Parses and validates the text of a settings file of a gateway or a directory. */
export function parseRoutingSettings(file: string, text: string): Either<readonly Finding[], RoutingSettings> {
    let content: unknown;
    try {
        content = JSON.parse(text);
    }
    catch (error) {
        return Left([{ file, place: "", cause: `can't be read: ${(error as Error).message}` }]);
    }
    const parsed = routingSettingsSchema.safeParse(content);
    return parsed.success ? Right(parsed.data) : Left(findingsFromZodError(file, parsed.error));
}
