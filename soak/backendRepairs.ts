import type { Backend } from "./backend.js";

/** Lets its connections through again. */
export function healRelay(backend: Backend): void {
    backend.relay.heal();
}

/** Restores its usual speed. */
export function restoreSpeed(backend: Backend): void {
    backend.slowdownFactor = 1;
}

/** Lets it keep the KV caches of prompts again. */
export function restoreHandles(backend: Backend): void {
    backend.expiresHandles = false;
}

/** Lets it send its responses again. */
export function restoreResponses(backend: Backend): void {
    backend.dropsResponses = false;
}
