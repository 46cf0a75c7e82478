import { PriorityShares } from "./priorityShares.js";
import { QueueOrder } from "./queueOrder.js";
import { insertByKey, removeRequest, type WaitingRequest } from "./waitingRequest.js";

/** Requests of one priority that take turns by organisation. */
class OrganisationTurns {
    /** Requests by organisation, in the order of the organisations' turns; those of each by target. */
    private readonly byOrganisation = new Map<string, WaitingRequest[]>();

    get isEmpty(): boolean {
        return this.byOrganisation.size === 0;
    }

    add(waiting: WaitingRequest): void {
        const name = organisationOf(waiting);
        const requests = this.byOrganisation.get(name) ?? [];
        this.byOrganisation.set(name, requests);
        insertByKey(requests, waiting);
    }

    remove(waiting: WaitingRequest): void {
        const name = organisationOf(waiting);
        const requests = this.byOrganisation.get(name) ?? [];
        removeRequest(requests, waiting);
        if (requests.length === 0) {
            this.byOrganisation.delete(name);
        }
    }

    /** Puts an organisation whose request was placed behind the others. */
    endTurn(organisation: string | undefined): void {
        const name = organisation ?? "";
        const requests = this.byOrganisation.get(name);
        if (requests !== undefined) {
            this.byOrganisation.delete(name);
            this.byOrganisation.set(name, requests);
        }
    }

    /** All requests in the order of their turns. */
    inOrder(): WaitingRequest[] {
        const ordered: WaitingRequest[] = [];
        let remaining = [...this.byOrganisation.values()];
        for (let turn = 0; remaining.length > 0; turn++) {
            remaining.forEach(requests => ordered.push(requests[turn]!));
            remaining = remaining.filter(requests => requests.length > turn + 1);
        }
        return ordered;
    }
}

/** The waiting requests of one priority. */
type PriorityLevel = { readonly onTime: OrganisationTurns; readonly late: OrganisationTurns; };

/**
 * By priority: resumed streams first, then the requests of the highest priority, except for the share of placements that
 * each lower priority gets while it waits. Within a priority the organisations take turns, and the requests of each are
 * sorted by target. Requests that miss their target wait behind the others of their priority.
 */
export class PriorityOrder extends QueueOrder {
    private readonly resumed: WaitingRequest[] = [];
    private readonly levels = new Map<number, PriorityLevel>();
    private readonly shares: PriorityShares;
    private sequence: WaitingRequest[] = [];
    private isOutdated = false;

    private constructor(floor: number) {
        super();
        this.shares = PriorityShares.create(floor);
    }

    /** `floor`: the share of placements that each waiting priority gets at least, 0 to 0.5. */
    static create(floor: number): PriorityOrder {
        return new PriorityOrder(floor);
    }

    override requests(): readonly WaitingRequest[] {
        if (this.isOutdated) {
            this.isOutdated = false;
            this.sequence = this.sequenceOfAll();
        }
        return this.sequence;
    }

    override add(waiting: WaitingRequest): void {
        waiting.sortKey = waiting.targetAt;
        if (waiting.request.resumed) {
            insertByKey(this.resumed, waiting);
        }
        else {
            this.turnsOf(waiting).add(waiting);
        }
        // For a caller that iterates over the requests; the exact position is computed at the next call of `requests`.
        const { priority, resumed } = waiting.request;
        const last = this.sequence.findLastIndex(({ request }) => {
            return request.resumed || !resumed && request.priority <= priority;
        });
        this.sequence.splice(last + 1, 0, waiting);
        this.isOutdated = true;
    }

    override remove(waiting: WaitingRequest): void {
        if (waiting.request.resumed) {
            removeRequest(this.resumed, waiting);
        }
        else {
            this.turnsOf(waiting).remove(waiting);
            this.dropEmptyLevel(waiting.request.priority);
        }
        removeRequest(this.sequence, waiting);
        this.isOutdated = true;
    }

    override recordPlaced({ request, late }: WaitingRequest): void {
        if (request.resumed) {
            return;
        }
        const { priority } = request;
        const others = this.waitingPriorities().filter(other => other !== priority);
        this.shares.recordPlaced(priority, [...others, priority].sort((one, other) => one - other));
        const level = this.levels.get(priority);
        (late ? level?.late : level?.onTime)?.endTurn(request.organisation);
        this.isOutdated = true;
    }

    override hasOnTimeRivals({ request }: WaitingRequest): boolean {
        const level = this.levels.get(request.priority);
        return level !== undefined && !level.onTime.isEmpty;
    }

    override staysAheadWhenLate(priority: number, other: WaitingRequest): boolean {
        return priority < other.request.priority;
    }

    private turnsOf({ request, late }: WaitingRequest): OrganisationTurns {
        const level = this.levels.get(request.priority)
            ?? { onTime: new OrganisationTurns(), late: new OrganisationTurns() };
        this.levels.set(request.priority, level);
        return late ? level.late : level.onTime;
    }

    private dropEmptyLevel(priority: number): void {
        const level = this.levels.get(priority);
        if (level?.onTime.isEmpty === true && level.late.isEmpty) {
            this.levels.delete(priority);
        }
    }

    private waitingPriorities(): number[] {
        return [...this.levels.keys()].sort((one, other) => one - other);
    }

    private sequenceOfAll(): WaitingRequest[] {
        const sequence = [...this.resumed];
        const shares = this.shares.copy();
        const remaining = new Map(
            this.waitingPriorities().map(priority => {
                const { onTime, late } = this.levels.get(priority)!;
                return [priority, [...onTime.inOrder(), ...late.inOrder()].reverse()] as const;
            }),
        );
        while (remaining.size > 0) {
            const waiting = [...remaining.keys()];
            const priority = shares.next(waiting);
            const requests = remaining.get(priority)!;
            sequence.push(requests.pop()!);
            shares.recordPlaced(priority, waiting);
            if (requests.length === 0) {
                remaining.delete(priority);
            }
        }
        return sequence;
    }
}

function organisationOf({ request }: WaitingRequest): string {
    return request.organisation ?? "";
}
