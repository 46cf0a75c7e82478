import { expect } from "chai";
import { createLogger } from "../index.js";

describe("the logger", () => {
    it("omits undefined metadata, also in sub-loggers", () => {
        // The library writes undefined metadata as text, so that every line contained "parentNames":"[undefined]" and
        // "path":"[undefined]".
        const lines: string[] = [];
        const { log } = console;
        console.log = (line: string) => lines.push(line);
        try {
            const root = createLogger("control-a", "info");
            root.info("started", { port: 1 });
            root.getSubLogger({ name: "peers" }).warn("slow");
            root.debug("not written");
        }
        finally {
            console.log = log;
        }
        expect(lines.join("")).not.to.include("[undefined]");
        const [first, second, ...others] = lines.map(line => JSON.parse(line) as Record<string, unknown>);
        expect(others).to.deep.equal([]);
        expect(first).to.deep.include({ 0: "started", 1: { port: 1 } });
        expect(first!._meta).to.include({ name: "control-a", logLevelName: "INFO" });
        expect(second!._meta).to.deep.include({ name: "peers", parentNames: ["control-a"], logLevelName: "WARN" });
    });

    it("writes the contents of an error inside an object", () => {
        // The properties of an error aren't enumerable: a failed start was logged with {"error":{}} and without its cause.
        const lines: string[] = [];
        const { log } = console;
        console.log = (line: string) => lines.push(line);
        try {
            createLogger("control-a", "info").fatal("can't start", {
                error: new RangeError("the disk is full"),
                port: 1,
            });
        }
        finally {
            console.log = log;
        }
        const { 1: details } = JSON.parse(lines[0]!) as {
            1: { error: { name: string; message: string; stack: string; }; };
        };
        expect(details.error).to.include({ name: "RangeError", message: "the disk is full" });
        expect(details.error.stack).to.include("logger.spec");
        expect(details).to.include({ port: 1 });
    });
});
