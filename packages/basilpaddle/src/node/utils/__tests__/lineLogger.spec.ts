import { expect } from "chai";
import { createLineLogger, LineOutput } from "../index.js";

/** Records the written text; while it is stalled, no write completes. */
class RecordedOutput extends LineOutput {
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

const outputWritten = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 20));

describe("the line logger", () => {
    it("writes one object per line, with its details and the contents of errors", async () => {
        const output = new RecordedOutput();
        const logger = createLineLogger("gateway-1", "info", output);
        logger.info("request", { request: "a1", path: ["x"] });
        logger.error("a call failed", { error: new RangeError("too much") });
        logger.debug("not written");
        await outputWritten();
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

    // Without a limit per message, a burst of one message suppresses the line that reports the cause.
    it("limits the rate of each message separately and reports dropped lines", async () => {
        const output = new RecordedOutput();
        let now = 10_000;
        const logger = createLineLogger("gateway-1", "info", output, () => now);
        for (let number = 0; number < 500; number++) {
            logger.warn("storm", { number });
        }
        logger.error("the cause");
        now += 1_001;
        logger.info("after");
        await outputWritten();
        const messages = output.lines().map(line => line.message);
        expect(messages.filter(message => message === "storm").length).to.equal(200);
        expect(messages).to.include("the cause");
        const report = output.lines().find(line => line.message === "log lines were dropped");
        expect(report?.dropped).to.deep.equal({ storm: 300 });
    });

    // A daemon whose standard output isn't read must neither run out of memory nor block.
    it("buffers a limited number of bytes for a stalled reader without blocking", async () => {
        const output = new RecordedOutput();
        output.stalled = true;
        let now = 10_000;
        const logger = createLineLogger("gateway-1", "info", output, () => now);
        const filler = "x".repeat(20_000);
        for (let number = 0; number < 2_000; number++) {
            logger.info(`kind ${number % 100}`, { filler });
            now += 50;
            if (number % 100 === 0) {
                await outputWritten();
            }
        }
        expect(output.text.length).to.be.below(3 * 1024 * 1024);
    });
});
