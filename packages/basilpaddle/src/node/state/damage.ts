/** A corrupt state file: its content isn't what was written and synced. */
export class Damage extends Error {
    override readonly name = "Damage";

    private constructor(
        /** Name of the file in the data folder. */
        readonly file: string,
        /** Byte offset at which the corruption begins. */
        readonly offset: number,
        /** What is wrong at the offset. */
        readonly reason: string,
    ) {
        super(`The state file ${file} is corrupt at byte ${offset}: ${reason}.`);
    }

    static create(file: string, offset: number, reason: string): Damage {
        return new Damage(file, offset, reason);
    }
}
