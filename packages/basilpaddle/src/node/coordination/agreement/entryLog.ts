import { Invariant } from "../../state/index.js";
import { decodeMembership, type Entry, type Membership, type SnapshotDescription } from "./entry.js";

type IndexedMembership = { readonly index: number; readonly membership: Membership; };

/** The entries after a base, in memory, with the membership and the latest view command that result from them. */
export class EntryLog {
    private entries: Entry[] = [];
    private viewIndexes: number[] = [];
    private memberships: IndexedMembership[] = [];

    private constructor(private currentBase: SnapshotDescription) {
        this.memberships.push({ index: currentBase.index, membership: currentBase.membership });
    }

    static create(base: SnapshotDescription): EntryLog {
        return new EntryLog(base);
    }

    /** The snapshot description that the first entry follows. */
    get base(): SnapshotDescription {
        return this.currentBase;
    }

    get lastIndex(): number {
        return this.currentBase.index + this.entries.length;
    }

    get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.currentBase.term;
    }

    /** The latest membership, committed or not: it takes effect as soon as it is in the log. */
    get membership(): Membership {
        return this.memberships.at(-1)!.membership;
    }

    /** Index of the entry that set the latest membership. */
    get membershipIndex(): number {
        return this.memberships.at(-1)!.index;
    }

    /** Index of the latest view command, committed or not. */
    get lastViewIndex(): number {
        return this.viewIndexes.at(-1) ?? this.currentBase.view;
    }

    /** Term of the entry at the index; undefined before the base and after the end. */
    termAt(index: number): number | undefined {
        if (index === this.currentBase.index) {
            return this.currentBase.term;
        }
        return this.entries[index - this.currentBase.index - 1]?.term;
    }

    /** Index of the first of the consecutive entries that have the same term as the entry at the index. */
    firstIndexOfTerm(index: number): number {
        let first = index;
        while (first - 1 > this.currentBase.index && this.termAt(first - 1) === this.termAt(index)) {
            first -= 1;
        }
        return first;
    }

    /** Last index whose term is at most the given one. */
    lastIndexUpToTerm(term: number): number {
        let last = this.lastIndex;
        while (last > this.currentBase.index && this.termAt(last)! > term) {
            last -= 1;
        }
        return last;
    }

    /** Entries from one index to another, both included. */
    range(from: number, to: number): Entry[] {
        return this.entries.slice(from - this.currentBase.index - 1, to - this.currentBase.index);
    }

    /** Entries from an index on, limited in total bytes and in number; at least one if the log has an entry at the index. */
    batch(from: number, byteLimit: number, countLimit: number): Entry[] {
        const first = from - this.currentBase.index - 1;
        let end = first;
        for (let bytes = 0; end < this.entries.length && end - first < countLimit; end += 1) {
            bytes += this.entries[end]!.data.length;
            if (bytes > byteLimit && end > first) {
                break;
            }
        }
        return this.entries.slice(first, end);
    }

    /** Appends the entry with the next index. */
    append(entry: Entry): void {
        Invariant.assert(entry.index === this.lastIndex + 1, "the log has no gaps");
        Invariant.assert(entry.term >= this.lastTerm, "terms in the log never decrease");
        this.entries.push(entry);
        if (entry.kind === "viewCommand") {
            this.viewIndexes.push(entry.index);
        }
        else if (entry.kind === "membership") {
            this.memberships.push({ index: entry.index, membership: decodeMembership(entry) });
        }
    }

    /** Removes the entry at the index and all after it. */
    truncate(from: number): void {
        Invariant.assert(from > this.currentBase.index, "entries that a snapshot covers are never truncated");
        this.entries.length = Math.min(this.entries.length, from - this.currentBase.index - 1);
        this.viewIndexes = this.viewIndexes.filter(index => index < from);
        this.memberships = this.memberships.filter((each, position) => position === 0 || each.index < from);
    }

    /** The description of a snapshot made after the entry at the index. */
    describeSnapshot(index: number): SnapshotDescription {
        const term = this.termAt(index);
        Invariant.assert(term !== undefined, "a snapshot is described only at an index within the log");
        const membership = this.memberships.findLast(each => each.index <= index)!.membership;
        const view = this.viewIndexes.findLast(viewIndex => viewIndex <= index) ?? this.currentBase.view;
        return { index, term, membership, view };
    }

    /** Removes the entries up to and including the index, which becomes the base. */
    compact(index: number): void {
        if (index <= this.currentBase.index) {
            return;
        }
        const base = this.describeSnapshot(index);
        this.entries = this.entries.slice(index - this.currentBase.index);
        this.viewIndexes = this.viewIndexes.filter(viewIndex => viewIndex > index);
        const newer = this.memberships.filter(each => each.index > index);
        const current = this.memberships.findLast(each => each.index <= index)!;
        this.memberships = [current, ...newer];
        this.currentBase = base;
    }
}
