import type { View } from "../../protocol/index.js";

/**
 * Backend servers that announced to this daemon that they are leaving. This daemon sends them no new work from then on,
 * even while the change of state isn't committed to the log yet or there is no quorum to commit it.
 */
export class LeavingBackends {
    private readonly leaving = new Map<string, number>();

    static create(): LeavingBackends {
        return new LeavingBackends();
    }

    markLeaving(id: string, incarnation: number): void {
        this.leaving.set(id, Math.max(incarnation, this.leaving.get(id) ?? 0));
    }

    isLeaving(id: string, incarnation: number): boolean {
        const marked = this.leaving.get(id);
        return marked !== undefined && incarnation <= marked;
    }

    /** Ids of the pool's backend servers that are marked as leaving. */
    leavingInPool(view: View, pool: string): string[] {
        return [...this.leaving.keys()].filter(id => {
            const backend = view.backends[id];
            return backend?.announcement.pool === pool && this.isLeaving(id, backend.announcement.incarnation);
        });
    }

    /**
     * Removes the marks that the view already reflects, so that their number stays bounded. The state `draining` doesn't count:
     * a backend server that drains because of an order may become ready again, and then its mark is still needed.
     */
    removeReflected(view: View): void {
        for (const [id, incarnation] of this.leaving) {
            const backend = view.backends[id];
            const isReflectedInView = backend === undefined
                || backend.announcement.incarnation > incarnation
                || backend.state === "leaving"
                || backend.state === "gone";
            if (isReflectedInView) {
                this.leaving.delete(id);
            }
        }
    }
}
