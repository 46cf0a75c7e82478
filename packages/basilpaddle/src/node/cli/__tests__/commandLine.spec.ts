import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { changeIdentifier, defaultBase } from "../changeIdentifier.js";
import { exitCodes } from "../exitCode.js";
import { runCommandLine } from "../main.js";

const validConfiguration = {
    pools: { drafting: { models: [{ name: "m", version: "1" }], copies: { prefill: 1, decode: 1 } } },
};

/** The fake daemon's answer to one request; `cut` closes the connection once the request has arrived. */
type Answer = { readonly status: number; readonly body: unknown; } | "cut";

describe("the command line", () => {
    let root: string;
    let server: http.Server;
    let at: string;
    let answers: (method: string, url: string, body: unknown) => Answer;
    let printed: string;
    const write = process.stdout.write.bind(process.stdout);
    const writeError = process.stderr.write.bind(process.stderr);

    beforeEach(async () => {
        root = await mkdtemp(path.join(tmpdir(), "basilpaddle-cli-"));
        await writeFile(path.join(root, "10-drafting.json"), JSON.stringify(validConfiguration));
        server = http.createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                const text = Buffer.concat(chunks).toString();
                const answer = answers(request.method!, request.url!, text === "" ? undefined : JSON.parse(text));
                if (answer === "cut") {
                    request.socket.destroy();
                    return;
                }
                response.writeHead(answer.status).end(JSON.stringify(answer.body));
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        at = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    });
    afterEach(async () => {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
        await rm(root, { recursive: true, force: true });
    });

    async function run(...argv: string[]): Promise<number> {
        printed = "";
        const capture = (text: string | Uint8Array): boolean => {
            printed += String(text);
            return true;
        };
        process.stdout.write = capture as typeof process.stdout.write;
        process.stderr.write = capture as typeof process.stderr.write;
        try {
            return await runCommandLine(argv);
        }
        finally {
            process.stdout.write = write;
            process.stderr.write = writeError;
        }
    }

    const configuration = (revision: number, changeId: string): Answer => ({
        status: 200,
        body: { kind: "configuration", revision, changeId, operator: "ana", declaration: {}, files: [] },
    });
    const applied = (status: number, body: object): Answer => ({ status, body: { kind: "applied", ...body } });
    const accepted = applied(200, { result: { kind: "accepted", revision: 5 }, daemons: ["entry-1", "entry-2"] });
    const apply = (...extraArguments: string[]): Promise<number> =>
        run("config", "apply", root, "--operator", "ana", "--at", at, ...extraArguments);

    it("shows help with the exit codes, and rejects invalid command lines", async () => {
        expect(await run("--help")).to.equal(exitCodes.done);
        expect(printed).to.include("Exit codes:").and.to.include("config");
        expect(await run()).to.equal(exitCodes.findings);
        expect(await run("statsu")).to.equal(exitCodes.findings);
        expect(printed).to.include("Did you mean status?");
        expect(await run("config", "apply", root, "--at", at)).to.equal(exitCodes.findings);
        expect(printed).to.include("operator");
        expect(await run("status", "--at", "nowhere")).to.equal(exitCodes.findings);
        expect(printed).to.include("host:port");
    });

    it("checks a folder without contacting a daemon", async () => {
        expect(await run("config", "check", root)).to.equal(exitCodes.done);
        await writeFile(path.join(root, "20-more.json"), "{\"pools\": {\"drafting\": {}}}");
        expect(await run("config", "check", root, "--json")).to.equal(exitCodes.findings);
        const { kind, findings } = JSON.parse(printed) as { kind: string; findings: { file: string; }[]; };
        expect(kind).to.equal("findings");
        expect(findings.map(finding => finding.file)).to.deep.equal(Array(findings.length).fill("20-more.json"));
        expect(findings.length).to.be.greaterThan(1);
    });

    it("applies against the revision in force", async () => {
        let postedChange: { base?: number; } = {};
        answers = (method, url, body) => {
            expect(url).to.match(/^\/operator\/v1\/config\?/);
            if (method === "GET") {
                return configuration(4, "another");
            }
            postedChange = body as typeof postedChange;
            return accepted;
        };
        expect(await apply("--note", "why")).to.equal(exitCodes.done);
        expect(postedChange).to.deep.include({ base: 4, operator: "ana", note: "why" });
        expect(printed).to.equal("revision 5 is accepted and in force (entry-1, entry-2)\n");
    });

    it("sends the same change again after a lost answer", async () => {
        // Guards against one `config apply` that creates two revisions, the second of which undoes another operator's change:
        // the change is accepted, the answer is lost, and the command sends it again under a newly generated identifier.
        const receivedChanges: unknown[] = [];
        answers = (method, _, body) => {
            if (method === "GET") {
                return configuration(4, "another");
            }
            receivedChanges.push(body);
            return receivedChanges.length === 1 ? "cut" : accepted;
        };
        expect(await apply()).to.equal(exitCodes.done);
        expect(receivedChanges).to.have.length(2);
        expect(receivedChanges[0]).to.deep.equal(receivedChanges[1]);
        answers = method => method === "GET" ? configuration(4, "another") : "cut";
        expect(await apply()).to.equal(exitCodes.undecided);
    });

    it("recognises its own change when the whole command is repeated", () => {
        const content = { operator: "ana", note: "", files: [{ name: "a.json", text: "{}" }] };
        const changeId = changeIdentifier({ ...content, base: 4 });
        expect(defaultBase({ revision: 5, changeId }, content)).to.equal(4);
        expect(defaultBase({ revision: 5, changeId }, { ...content, operator: "bea" })).to.equal(5);
        expect(defaultBase({ revision: 0, changeId: "" }, content)).to.equal(0);
    });

    it("has an exit code for each outcome", async () => {
        const winner = { operator: "bea", changeId: "c9" };
        answers = () => applied(409, { result: { kind: "conflict", revision: 5, winner }, daemons: [] });
        expect(await apply("--base", "4")).to.equal(exitCodes.conflict);
        expect(printed).to.include("bea").and.to.include("c9");
        const failure = (code: string): Answer => ({ status: 503, body: { kind: "failure", code, message: code } });
        answers = () => failure("undecided");
        expect(await apply("--base", "4")).to.equal(exitCodes.undecided);
        answers = () => failure("unreachable");
        expect(await run("status", "--at", at)).to.equal(exitCodes.unreachable);
        answers = () => failure("unknownBackend");
        expect(await run("drain", "worker-1", "--operator", "ana", "--at", at)).to.equal(exitCodes.refused);
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
        expect(await apply("--base", "4")).to.equal(exitCodes.unreachable);
    });

    it("prints one JSON value with --json", async () => {
        answers = () => ({ status: 200, body: { kind: "history", entries: [] } });
        expect(await run("config", "history", "--at", at, "--json")).to.equal(exitCodes.done);
        expect(JSON.parse(printed)).to.deep.equal({ kind: "history", entries: [] });
    });
});
