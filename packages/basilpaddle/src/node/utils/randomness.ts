import { createHash, randomUUID } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers; interchangeable, so that a test run can be reproduced exactly from its seed. */
export abstract class Randomness {
    /** A number from 0 (inclusive) to 1 (exclusive). */
    abstract fraction(): number;

    /** An integer from `min` to `max`, both inclusive. */
    abstract integer(min: number, max: number): number;

    /** A globally unique identifier. */
    abstract identifier(): string;
}

/** Random numbers from the runtime's generators. */
export class SystemRandomness extends Randomness {
    static create(): SystemRandomness {
        return new SystemRandomness();
    }

    override fraction(): number {
        return Math.random();
    }

    override integer(min: number, max: number): number {
        return min + Math.floor(Math.random() * (max - min + 1));
    }

    override identifier(): string {
        return randomUUID();
    }
}

/**
 * Random numbers for hosts that may have started from the same image at the same time. The system's generators can then
 * return the same numbers on all of them, so that voters repeatedly start elections at the same time and none wins. The
 * daemon's name and the host's clocks are therefore mixed into the seed.
 */
export class HostRandomness extends Randomness {
    private readonly generator;
    private readonly identifierPrefix: string;

    private constructor(name: string) {
        super();
        const startInstant = `${Date.now()} ${process.hrtime.bigint()} ${process.pid}`;
        const digest = createHash("sha256").update(`${name} ${startInstant} ${randomUUID()}`).digest();
        this.generator = xoroshiro128plus(digest.readInt32BE(0));
        this.identifierPrefix = digest.toString("hex", 4, 12);
    }

    static create(name: string): HostRandomness {
        return new HostRandomness(name);
    }

    override fraction(): number {
        return uniformFloat64(this.generator);
    }

    override integer(min: number, max: number): number {
        return uniformInt(this.generator, min, max);
    }

    override identifier(): string {
        return `${this.identifierPrefix}-${randomUUID()}`;
    }
}

/** Deterministic random numbers from a seed. */
export class SeededRandomness extends Randomness {
    private readonly generator;

    private constructor(seed: number) {
        super();
        this.generator = xoroshiro128plus(seed);
    }

    static create(seed: number): SeededRandomness {
        return new SeededRandomness(seed);
    }

    override fraction(): number {
        return uniformFloat64(this.generator);
    }

    override integer(min: number, max: number): number {
        return uniformInt(this.generator, min, max);
    }

    override identifier(): string {
        return this.integer(0, 0xffff_ffff).toString(16).padStart(8, "0")
            + this.integer(0, 0xffff_ffff).toString(16).padStart(8, "0");
    }
}
