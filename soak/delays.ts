/** Delays that can all be ended early; from then on none begins. */
export class Delays {
    private readonly pending = new Map<NodeJS.Timeout, () => void>();
    private hasEnded = false;

    static create(): Delays {
        return new Delays();
    }

    /** Resolves after so many milliseconds, or when all delays are ended. */
    pause(milliseconds: number): Promise<void> {
        if (this.hasEnded) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.pending.delete(timer);
                resolve();
            }, milliseconds);
            this.pending.set(timer, resolve);
        });
    }

    /** Ends all delays at once. */
    end(): void {
        this.hasEnded = true;
        this.pending.forEach((resolve, timer) => {
            clearTimeout(timer);
            resolve();
        });
        this.pending.clear();
    }
}
