import type { PeerRequest } from "../../protocol/index.js";

/** Renewals as sent in a `confirmView` request. */
export type RenewalList = Extract<PeerRequest, { kind: "confirmView"; }>["renewals"];

/** Renewals of backend servers that no control daemon has acknowledged yet, at most one per backend server. */
export class PendingRenewals {
    private readonly unacknowledged = new Map<string, { incarnation: number; sequence: number; }>();
    private lastSequence = 0;

    static create(): PendingRenewals {
        return new PendingRenewals();
    }

    /** Records a renewal. A delayed renewal of an earlier incarnation doesn't replace one of a later incarnation. */
    record(id: string, incarnation: number): void {
        const previous = this.unacknowledged.get(id);
        if (previous !== undefined && previous.incarnation > incarnation) {
            return;
        }
        this.unacknowledged.set(id, { incarnation, sequence: ++this.lastSequence });
    }

    /** The renewals to send now, and the sequence number to acknowledge them with. */
    pending(): { readonly list: RenewalList; readonly upTo: number; } {
        const list = [...this.unacknowledged].map(([id, { incarnation }]) => ({ id, incarnation }));
        return { list, upTo: this.lastSequence };
    }

    /** Removes the renewals up to the given sequence number. A renewal that was recorded again later is kept. */
    acknowledge(upTo: number): void {
        for (const [id, renewal] of this.unacknowledged) {
            if (renewal.sequence <= upTo) {
                this.unacknowledged.delete(id);
            }
        }
    }
}
