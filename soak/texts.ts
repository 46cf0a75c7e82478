// Answers that follow from the attempt alone, so that every byte of an answer can be held against its request.

import { fractionOf } from "../packages/basilpaddle/src/node/utils/index.js";

/** Most events of a streamed answer. */
const mostEvents = 24;
const leastEvents = 3;
const plainLength = 800;

/** Body of a plain answer. */
export function plainText(attempt: string): string {
    return `${attempt} `.repeat(Math.ceil(plainLength / (attempt.length + 1))).slice(0, plainLength);
}

/** Number of events of a streamed answer. */
export function eventCount(attempt: string): number {
    return leastEvents + Math.floor(fractionOf(attempt) * (mostEvents - leastEvents));
}

/** One event of a streamed answer, numbered from 1. */
export function eventText(attempt: string, number: number): string {
    return `id: ${number}\ndata: ${attempt} ${number}\n\n`;
}

/** The whole of a streamed answer. */
export function streamText(attempt: string): string {
    return Array.from({ length: eventCount(attempt) }, (_, index) => eventText(attempt, index + 1)).join("");
}

/** Beginning of a body under which each backend server ends that begins to run it. */
const deadlyMark = "deadly ";

/** A deadly body; the same name gives the same request. */
export function deadlyBody(name: string): string {
    return `${deadlyMark}${name}`;
}

/** Whether a backend server ends under a body. */
export function isDeadly(body: string): boolean {
    return body.startsWith(deadlyMark);
}
