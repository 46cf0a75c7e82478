import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { anonymousOrganisation, callerHeaders, type Refusal } from "../../protocol/index.js";
import { header, notRun } from "./reply.js";

const organisationPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/;
const keyPattern = /^[\x21-\x7e]{1,128}$/;
const deadlinePattern = /^[1-9][0-9]{0,8}$/;

/** The options that a caller sets by request headers. */
export type CallerOptions = {
    readonly organisation: string;
    readonly key: string | undefined;
    readonly nonIdempotent: boolean;
    /** Milliseconds. */
    readonly deadline: number | undefined;
};

/** Parses and validates the headers of a caller's request. */
export function readCallerOptions(request: IncomingMessage): Either<Refusal, CallerOptions> {
    const organisation = header(request, callerHeaders.organisation) ?? anonymousOrganisation;
    const key = header(request, callerHeaders.key);
    const nonIdempotentText = header(request, callerHeaders.nonIdempotent) ?? "false";
    const deadline = header(request, callerHeaders.deadline);
    if (!organisationPattern.test(organisation)) {
        return invalidHeader(callerHeaders.organisation, "a name of 1 to 127 letters, digits, '.', '_' and '-'");
    }
    if (key !== undefined && !keyPattern.test(key)) {
        return invalidHeader(callerHeaders.key, "1 to 128 visible ASCII characters, given once");
    }
    if (nonIdempotentText !== "true" && nonIdempotentText !== "false") {
        return invalidHeader(callerHeaders.nonIdempotent, "true or false");
    }
    if (deadline !== undefined && !deadlinePattern.test(deadline)) {
        return invalidHeader(callerHeaders.deadline, "whole milliseconds, at least 1");
    }
    return Right({
        organisation,
        key,
        nonIdempotent: nonIdempotentText === "true",
        deadline: deadline === undefined ? undefined : Number(deadline),
    });
}

function invalidHeader(name: string, rule: string): Either<Refusal, never> {
    return Left(notRun("badRequest", `header ${name}: must be ${rule}`));
}
