import { hashToFraction } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { EmulatedRequest } from "./workload.js";

/** Priority, target and organisation of an emulated request. */
export type RequestPriority = { readonly priority: number; readonly target: number; readonly organisation: string; };

/** Fraction of the requests of each priority, and their targets in milliseconds. */
const kinds = [
    { priority: 0, part: 0.2, target: 600 },
    { priority: 1, part: 0.3, target: 900 },
    { priority: 2, part: 0.5, target: 2_000 },
] as const;
const organisations = ["a", "b", "c", "d"];

/** Divides the requests of a day between three priorities, by a hash of their names. */
export class PriorityMix {
    private constructor(readonly isPrioritised: boolean, readonly floor: number) {}

    /** `isPrioritised`: whether the queues are ordered by priority. `floor`: the share of each lower priority. */
    static create(isPrioritised: boolean, floor: number): PriorityMix {
        return new PriorityMix(isPrioritised, floor);
    }

    kindOf({ name }: EmulatedRequest): RequestPriority {
        let position = hashToFraction(`priority of ${name}`);
        const kind = kinds.find(({ part }) => (position -= part) < 0) ?? kinds[2];
        const organisation =
            organisations[Math.floor(hashToFraction(`organisation of ${name}`) * organisations.length)]!;
        return { priority: kind.priority, target: kind.target, organisation };
    }
}
