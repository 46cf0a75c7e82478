import type { PeerRequest } from "../../protocol/index.js";

/** Renewals in the form in which a `confirmView` request carries them. */
export type RenewalList = Extract<PeerRequest, { kind: "confirmView"; }>["renewals"];

/** Renewals of backend servers that no control daemon has acknowledged yet, at most one per backend server. */
export class PendingRenewals {
    private readonly unacknowledged = new Map<string, { incarnation: number; sequence: number; }>();
    private lastSequence = 0;

    static create(): PendingRenewals {
        return new PendingRenewals();
    }

    /** Records a renewal. A delayed one of an earlier incarnation doesn't replace that of a later incarnation. */
    note(id: string, incarnation: number): void {
        const earlier = this.unacknowledged.get(id);
        if (earlier !== undefined && earlier.incarnation > incarnation) {
            return;
        }
        this.unacknowledged.set(id, { incarnation, sequence: ++this.lastSequence });
    }

    /** The renewals to send now, and the sequence number to acknowledge them with. */
    pending(): { readonly list: RenewalList; readonly upTo: number; } {
        const list = [...this.unacknowledged].map(([id, { incarnation }]) => ({ id, incarnation }));
        return { list, upTo: this.lastSequence };
    }

    /** Removes the renewals up to the given sequence number. One that was recorded again since then stays. */
    acknowledge(upTo: number): void {
        for (const [id, renewal] of this.unacknowledged) {
            if (renewal.sequence <= upTo) {
                this.unacknowledged.delete(id);
            }
        }
    }
}
