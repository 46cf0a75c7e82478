/** Those who wait to send work to backend servers, and have to be told when one accepts no more. */
export class DepartureListeners {
    private readonly listeners = new Map<string, Set<() => void>>();

    static create(): DepartureListeners {
        return new DepartureListeners();
    }

    /** Adds a listener for an incarnation; the returned function removes it. */
    add(id: string, listener: () => void): () => void {
        const listeners = this.listeners.get(id) ?? new Set();
        this.listeners.set(id, listeners.add(listener));
        return () => {
            listeners.delete(listener);
            if (listeners.size === 0 && this.listeners.get(id) === listeners) {
                this.listeners.delete(id);
            }
        };
    }

    /** Calls and removes the listeners of an incarnation. */
    notify(id: string): void {
        const listeners = this.listeners.get(id);
        this.listeners.delete(id);
        listeners?.forEach(listener => listener());
    }
}
