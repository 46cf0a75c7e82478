// Response bodies that depend only on the attempt, so that every byte of a response can be checked against its request.

import { hashToFraction } from "../packages/basilpaddle/src/node/utils/index.js";

/** Bounds for the number of events in a streamed response. */
const maxEvents = 24;
const minEvents = 3;
const plainBodyLength = 800;

/** Body of a plain response. */
export function plainText(attempt: string): string {
    return `${attempt} `.repeat(Math.ceil(plainBodyLength / (attempt.length + 1))).slice(0, plainBodyLength);
}

/** Milliseconds that a long answer takes: over half of the daemons' grace period, within the limit of a request. */
export const longAnswerMilliseconds = 4_300;
const longPrefix = "long-";

/** An attempt whose answer takes long. */
export function longAttempt(name: string): string {
    return `${longPrefix}${name}`;
}

/** Whether the answer to an attempt takes long. */
export function isLong(attempt: string): boolean {
    return attempt.startsWith(longPrefix);
}

/** Number of events in a stream; derived from the attempt that began it. */
export function eventCount(firstAttempt: string): number {
    return minEvents + Math.floor(hashToFraction(firstAttempt) * (maxEvents - minEvents));
}

/** One event of a stream, numbered from 1. `version`: the software version of the engine that made it. */
export function eventText(firstAttempt: string, number: number, version: string): string {
    return `id: ${number}\ndata: ${firstAttempt} ${number} ${version}\n\n`;
}

/** The software versions of the engines that made the complete events of a stream's text, in order. */
export function eventVersions(text: string): string[] {
    return [...text.matchAll(/^data: \S+ \d+ (\S+)\n\n/gm)].map(([, version = ""]) => version);
}

/** Whether a text holds all events of a stream after the given one, each once and in order. */
export function isRestOfStream(text: string, firstAttempt: string, lastEvent: number): boolean {
    const versions = eventVersions(text);
    const expected = versions.map((version, index) => eventText(firstAttempt, lastEvent + index + 1, version));
    return lastEvent + versions.length === eventCount(firstAttempt) && text === expected.join("");
}

/** Prefix of a request body that crashes each backend server that starts to run it. */
const poisonPrefix = "deadly ";

/** Body of a poison request; equal names give equal bodies, and so the same request. */
export function poisonBody(name: string): string {
    return `${poisonPrefix}${name}`;
}

/** Whether a request body crashes the backend server that runs it. */
export function isPoison(body: string): boolean {
    return body.startsWith(poisonPrefix);
}

/** Prefix of a prompt's part that crashes each engine that begins to write on it. */
const poisonPartPrefix = "bad";
/** Number of first parts that prompts share. */
const sharedPartCount = 3;

/** Identifiers of a prompt's parts: a shared one, perhaps a poison one, and the request's own. */
export function promptParts(attempt: string, poisonPart?: string): string[] {
    const number = Math.floor(hashToFraction(attempt) * sharedPartCount);
    return [`5a${number}`, ...poisonPart === undefined ? [] : [poisonPart], Buffer.from(attempt).toString("hex")];
}

/** Identifier of a part that crashes engines. */
export function poisonPart(number: number): string {
    return `${poisonPartPrefix}${number}`;
}

/** Whether a part of a prompt crashes engines. */
export function isPoisonPart(part: string): boolean {
    return part.startsWith(poisonPartPrefix);
}
