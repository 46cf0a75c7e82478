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

/** Number of events in a streamed response; derived from the attempt. */
export function eventCount(attempt: string): number {
    return minEvents + Math.floor(hashToFraction(attempt) * (maxEvents - minEvents));
}

/** One event of a streamed response, numbered from 1. */
export function eventText(attempt: string, number: number): string {
    return `id: ${number}\ndata: ${attempt} ${number}\n\n`;
}

/** The whole body of a streamed response. */
export function streamText(attempt: string): string {
    return Array.from({ length: eventCount(attempt) }, (_, index) => eventText(attempt, index + 1)).join("");
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
