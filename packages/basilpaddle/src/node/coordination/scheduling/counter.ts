/** Counts by name; names whose count returns to zero are removed. */
export class Counter {
    private readonly counts = new Map<string, number>();

    static create(): Counter {
        return new Counter();
    }

    /** The count of a name. */
    of(name: string): number {
        return this.counts.get(name) ?? 0;
    }

    add(name: string): void {
        this.counts.set(name, this.of(name) + 1);
    }

    remove(name: string): void {
        const remaining = this.of(name) - 1;
        if (remaining > 0) {
            this.counts.set(name, remaining);
        }
        else {
            this.counts.delete(name);
        }
    }
}
