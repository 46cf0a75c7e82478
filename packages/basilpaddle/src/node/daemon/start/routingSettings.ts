import { type Either, Left, Right } from "purify-ts";
import { type Finding, findingsOf, type RoutingSettings, routingSettingsSchema } from "../../protocol/index.js";
import { noticeOnStandardError, readWhenWhole, type WaitNotice } from "./settingsFile.js";

/** Reads the settings file of a gateway or a directory. Waits for a file that is being written. */
export async function readRoutingSettings(
    file: string,
    notice: WaitNotice = noticeOnStandardError,
): Promise<Either<readonly Finding[], RoutingSettings>> {
    const content = await readWhenWhole(file, notice);
    return content.mapLeft((finding): readonly Finding[] => [finding]).chain(text => parseRoutingSettings(file, text));
}

/** Checks the text of a settings file. */
export function parseRoutingSettings(file: string, text: string): Either<readonly Finding[], RoutingSettings> {
    let content: unknown;
    try {
        content = JSON.parse(text);
    }
    catch (error) {
        return Left([{ file, place: "", cause: `can't be read: ${(error as Error).message}` }]);
    }
    const parsed = routingSettingsSchema.safeParse(content);
    return parsed.success ? Right(parsed.data) : Left(findingsOf(file, parsed.error));
}
