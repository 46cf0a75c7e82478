/** Function that releases a resource; idempotent. */
export type Disposable = () => void | Promise<void>;

/** Collects the disposables of an owner and releases them in reverse order. */
export class DisposableStore {
    private readonly disposables: Disposable[] = [];
    private disposed = false;

    static create(): DisposableStore {
        return new DisposableStore();
    }

    /** Adds a disposable; if the store has already been disposed, releases it immediately. */
    add(disposable: Disposable): void {
        if (this.disposed) {
            void disposable();
            return;
        }
        this.disposables.push(disposable);
    }

    /** Releases all disposables. Each one runs even if another fails; the first failure is thrown at the end. */
    async dispose(): Promise<void> {
        this.disposed = true;
        const failures: unknown[] = [];
        for (let disposable = this.disposables.pop(); disposable !== undefined; disposable = this.disposables.pop()) {
            try {
                await disposable();
            }
            catch (failure) {
                failures.push(failure);
            }
        }
        if (failures.length > 0) {
            throw failures[0];
        }
    }
}
