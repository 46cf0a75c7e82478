/** What a part's name in crash records begins with; digests of requests don't contain a colon. */
const namePrefix = "part:";

/** Name of a part of prompts in crash records, by the identifier of its content. */
export function promptPartName(contentIdentifier: string): string {
    return namePrefix + contentIdentifier;
}

/** Whether a record's digest names a part of prompts rather than a request. */
export function isPromptPartName(digest: string): boolean {
    return digest.startsWith(namePrefix);
}

/** Maximum number of a prompt's parts in a log line. */
const maxLoggedParts = 8;

/** The parts of a prompt for a log line. */
export function loggedPromptParts(promptParts: readonly string[]): readonly string[] {
    return promptParts.slice(0, maxLoggedParts);
}
