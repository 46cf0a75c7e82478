import { createHash, randomUUID } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers, so that a random run repeats exactly from its seed. */
export abstract class Randomness {
    /** A number from 0 up to, but without, 1. */
    abstract fraction(): number;

    /** A whole number from `least` to `most`, both included. */
    abstract integer(least: number, most: number): number;

    /** An identifier that no other daemon makes. */
    abstract identifier(): string;
}

/** Random numbers from the host. */
export class SystemRandomness extends Randomness {
    static create(): SystemRandomness {
        return new SystemRandomness();
    }

    override fraction(): number {
        return Math.random();
    }

    override integer(least: number, most: number): number {
        return least + Math.floor(Math.random() * (most - least + 1));
    }

    override identifier(): string {
        return randomUUID();
    }
}

/**
 * Random numbers of one host among many that may have started from the same image at the same moment. Their own sources
 * can then give all of them the same numbers: voters stand for election together, again and again, and none wins. The
 * host's name and its clocks are mixed in.
 */
export class HostRandomness extends Randomness {
    private readonly generator;
    private readonly mark: string;

    private constructor(name: string) {
        super();
        const moment = `${Date.now()} ${process.hrtime.bigint()} ${process.pid}`;
        const digest = createHash("sha256").update(`${name} ${moment} ${randomUUID()}`).digest();
        this.generator = xoroshiro128plus(digest.readInt32BE(0));
        this.mark = digest.toString("hex", 4, 12);
    }

    static create(name: string): HostRandomness {
        return new HostRandomness(name);
    }

    override fraction(): number {
        return uniformFloat64(this.generator);
    }

    override integer(least: number, most: number): number {
        return uniformInt(this.generator, least, most);
    }

    override identifier(): string {
        return `${this.mark}-${randomUUID()}`;
    }
}

/** Random numbers that follow from a seed. */
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

    override integer(least: number, most: number): number {
        return uniformInt(this.generator, least, most);
    }

    override identifier(): string {
        return this.integer(0, 0xffff_ffff).toString(16).padStart(8, "0")
            + this.integer(0, 0xffff_ffff).toString(16).padStart(8, "0");
    }
}
