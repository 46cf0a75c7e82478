import { expect } from "chai";
import { createLineLogger, LineOutput } from "../index.js";

/** Keeps what is written; while it is stalled nothing is taken off its hands. */
class KeptOutput extends LineOutput {
    text = "";
    stalled = false;

    override write(bytes: Buffer, done: () => void): void {
        this.text += bytes.toString();
        if (!this.stalled) {
            setImmediate(done);
        }
    }

    lines(): Record<string, unknown>[] {
        return this.text.split("\n").filter(line => line !== "").map(line =>
            JSON.parse(line) as Record<string, unknown>
        );
    }
}

const written = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 20));

describe("the line logger", () => {
    it("writes one object a line, with its details and what errors say", async () => {
        const output = new KeptOutput();
        const logger = createLineLogger("gateway-1", "info", output);
        logger.info("request", { request: "a1", path: ["x"] });
        logger.error("a call failed", { error: new RangeError("too much") });
        logger.debug("not written");
        await written();
        const [first, second, ...others] = output.lines();
        expect(others).to.deep.equal([]);
        expect(first).to.deep.include({
            level: "INFO",
            daemon: "gateway-1",
            message: "request",
            request: "a1",
            path: ["x"],
        });
        expect(second!.error).to.include({ name: "RangeError", message: "too much" });
    });

    // Symptom: under a storm of one kind of line the cause, told in another one, can't be found.
    it("bounds each kind of line by itself, and tells what it dropped", async () => {
        const output = new KeptOutput();
        let now = 10_000;
        const logger = createLineLogger("gateway-1", "info", output, () => now);
        for (let number = 0; number < 500; number++) {
            logger.warn("storm", { number });
        }
        logger.error("the cause");
        now += 1_001;
        logger.info("after");
        await written();
        const messages = output.lines().map(line => line.message);
        expect(messages.filter(message => message === "storm").length).to.equal(200);
        expect(messages).to.include("the cause");
        const report = output.lines().find(line => line.message === "log lines were dropped");
        expect(report?.dropped).to.deep.equal({ storm: 300 });
    });

    // Symptom: a daemon grows, or stands still, because nobody reads its standard output.
    it("keeps no more than its limit for a reader that stalls, and doesn't wait for it", async () => {
        const output = new KeptOutput();
        output.stalled = true;
        let now = 10_000;
        const logger = createLineLogger("gateway-1", "info", output, () => now);
        const filler = "x".repeat(20_000);
        for (let number = 0; number < 2_000; number++) {
            logger.info(`kind ${number % 100}`, { filler });
            now += 50;
            if (number % 100 === 0) {
                await written();
            }
        }
        expect(output.text.length).to.be.below(3 * 1024 * 1024);
    });
});
