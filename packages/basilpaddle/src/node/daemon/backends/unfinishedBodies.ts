import type { Clock } from "../../utils/index.js";

/** Interval in milliseconds in which progress is noticed. */
const tickMilliseconds = 500;
/** Ticks without a byte after which a body stands still: a second at least, the first tick may come at once. */
const stalledTicks = 3;

/** A body that is still being received. */
export type UnfinishedBody = { readonly bytes: number; };

/**
 * The bodies that callers are still sending, in the order of their last progress. Time is counted in ticks that come after input was
 * read: a process that stood still counts one for it, and judges no body by what it hadn't read itself.
 */
export class UnfinishedBodies<Body extends UnfinishedBody> {
    private readonly progress = new Map<Body, number>();
    private tick = 0;
    private isTicking = false;

    private constructor(private readonly clock: Clock) {}

    static create<Body extends UnfinishedBody>(clock: Clock): UnfinishedBodies<Body> {
        return new UnfinishedBodies<Body>(clock);
    }

    /** Records that bytes of a body came, or that it begins. */
    recordProgress(body: Body): void {
        if (this.progress.get(body) !== this.tick) {
            this.progress.delete(body);
            this.progress.set(body, this.tick);
        }
        if (!this.isTicking) {
            this.isTicking = true;
            this.clock.after(tickMilliseconds, () => this.advance());
        }
    }

    /** To be called once it is whole or ends. */
    delete(body: Body): void {
        this.progress.delete(body);
    }

    /** The one of which nothing came for longest, if that is a second or more. */
    stalled(): Body | undefined {
        const [first] = this.progress;
        return first !== undefined && this.tick - first[1] >= stalledTicks ? first[0] : undefined;
    }

    /** The largest one of more than that many bytes. */
    largestOver(bytes: number): Body | undefined {
        let largest: Body | undefined;
        for (const body of this.progress.keys()) {
            if (body.bytes > (largest?.bytes ?? bytes)) {
                largest = body;
            }
        }
        return largest;
    }

    private advance(): void {
        this.tick += 1;
        this.isTicking = this.progress.size > 0;
        if (this.isTicking) {
            this.clock.after(tickMilliseconds, () => this.advance());
        }
    }
}
