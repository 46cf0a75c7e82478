/** Polls until the condition holds. @throws Error after 20 seconds, with the description of the condition */
export async function until(description: string, condition: () => boolean): Promise<void> {
    const deadline = Date.now() + 20_000;
    while (!condition()) {
        if (Date.now() > deadline) {
            throw new Error(`Timed out after 20 seconds waiting for: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}
