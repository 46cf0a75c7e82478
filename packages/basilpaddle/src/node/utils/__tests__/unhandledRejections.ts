/** The rejections that nobody handles while `act` runs: in a daemon, each of them ends the process. */
export async function unhandledRejectionsIn(act: () => Promise<unknown>): Promise<readonly unknown[]> {
    const rejections: unknown[] = [];
    const listeners = process.rawListeners("unhandledRejection") as NodeJS.UnhandledRejectionListener[];
    process.removeAllListeners("unhandledRejection").on("unhandledRejection", error => rejections.push(error));
    try {
        await act();
        await new Promise(resolve => setImmediate(resolve));
    }
    finally {
        process.removeAllListeners("unhandledRejection");
        listeners.forEach(listener => process.on("unhandledRejection", listener));
    }
    return rejections;
}
