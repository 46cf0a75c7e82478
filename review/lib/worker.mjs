// A stand-in for one worker: registers by heartbeats, answers requests, and reports to its parent what arrives, runs and ends.
import * as http from "node:http";

let options;
let server;
let sequence = 0;
let state = "ready";
let sendsHeartbeats = true;
let registered = false;
let running = 0;
let handles = 0;
let lastFence = 0;
let isSwitching = false;
const stageSwitchMilliseconds = 6_000;
/** How it answers; changed by messages. */
let behaviour = {};
const born = Date.now();

const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));
const report = (kind, more = {}) => process.connected && process.send({ kind, ...more });

process.on("disconnect", () => process.exit(0));
process.on("message", message => {
    if (message.kind === "start") {
        void start(message);
    }
    else if (message.kind === "register") {
        void register();
    }
    else if (message.kind === "behave") {
        behaviour = { ...behaviour, ...message.behaviour };
    }
    else if (message.kind === "drain") {
        void drain(message);
    }
});

async function start(message) {
    options = message;
    behaviour = message.behaviour ?? {};
    server = http.createServer({ keepAliveTimeout: 20_000 });
    server.on("request", (request, response) => void receive(request, response));
    await new Promise((resolve, reject) => server.once("error", reject).listen(message.port ?? 0, message.host, resolve));
    options.port = server.address().port;
    report("listening", { text: `${options.host}:${options.port}`, port: options.port });
}

/** Sends heartbeats from now on. */
async function register() {
    while (sendsHeartbeats) {
        if (await toControl("heartbeat", heartbeat()) && !registered) {
            registered = true;
            report("registered");
        }
        await pause(registered ? 1_200 : 300);
    }
}

function heartbeat() {
    sequence += 1;
    return {
        service: options.service,
        address: options.announced ?? `${options.host}:${options.port}`,
        zone: options.zone ?? "zone-a",
        version: "v1",
        slots: options.slots ?? 96,
        state,
        cold_remaining_ms: 0,
        sequence,
        ...options.tellsBorn === false ? {} : { born },
        ...options.stage === undefined ? {} : { stage: options.stage, models: [{ name: "m", version: 1, adapters: [] }] },
    };
}

/** Calls the directories in turn until one acknowledges. */
async function toControl(path, body) {
    for (const address of options.control) {
        const status = await new Promise(resolve => {
            const request = http.request(`http://${address}/instances/${options.id}/${path}`, { method: "POST", agent: false });
            request.setTimeout(1_000, () => request.destroy());
            request.on("response", response => response.resume().on("end", () => resolve(response.statusCode)));
            request.on("error", () => resolve(0));
            request.on("close", () => resolve(0));
            request.end(body === undefined ? undefined : JSON.stringify(body));
        });
        if (status === 200) {
            return true;
        }
    }
    return false;
}

/** Says that it leaves, serves for so long after the acknowledgement, says that it has left, and exits. */
async function drain({ servesFor }) {
    state = "draining";
    while (!await toControl("heartbeat", heartbeat())) {
        await pause(100);
    }
    report("drainAcknowledged");
    await pause(servesFor);
    sendsHeartbeats = false;
    await toControl("leave", undefined);
    report("leaves");
    await pause(20);
    process.exit(0);
}

/** Carries out an order to change the stage. */
function order({ stage, fence, holder }, response) {
    report("order", { text: `${stage} by ${holder}, fence ${fence}` });
    const status = fence < lastFence ? 412 : isSwitching ? 409 : options.stage === stage ? 200 : 202;
    lastFence = Math.max(lastFence, fence);
    response.writeHead(status).end("{}");
    if (status === 202) {
        isSwitching = true;
        setTimeout(() => {
            options.stage = stage;
            isSwitching = false;
        }, stageSwitchMilliseconds);
    }
}

async function receive(request, response) {
    const { headers, method, url } = request;
    const attempt = headers["attempt-id"];
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    if (url === "/health") {
        response.writeHead(state === "ready" ? 200 : 503, { "Instance-Id": options.id }).end();
        return;
    }
    if (method === "DELETE" && url.startsWith("/kv-handle/")) {
        response.writeHead(200).end();
        return;
    }
    if (url === "/order") {
        order(JSON.parse(body.toString("utf8")), response);
        return;
    }
    report("arrived", { attempt, text: `${method} ${url} deadline ${headers["deadline-milliseconds"]}` });
    const expected = headers["expected-instance"];
    const echo = { "Attempt-Id": attempt, "Instance-Id": options.id };
    if (expected !== undefined && expected !== options.id) {
        response.writeHead(421, { ...echo, "Not-Executed": "1" }).end();
        return;
    }
    if (isSwitching) {
        response.writeHead(503, { ...echo, "Not-Executed": "1" }).end();
        return;
    }
    if (headers.stage === "prefill" && options.stage !== "prefill" || headers.stage !== "prefill" && options.stage === "prefill") {
        response.writeHead(421, { ...echo, "Not-Executed": "1" }).end();
        return;
    }
    if (headers.stage === "prefill") {
        await pause(options.prefillMs ?? 30);
        handles += 1;
        const handle = `${options.id}h${handles}`;
        response.writeHead(200, { ...echo, "Content-Type": "application/json" });
        response.end(JSON.stringify({ transfer_handle: handle, tokens: 800, version: 1 }));
        return;
    }
    if (running >= (options.slots ?? 96) + (options.queue ?? 24)) {
        response.writeHead(503, { ...echo, "Not-Executed": "1" }).end();
        return;
    }
    running += 1;
    response.once("close", () => {
        running -= 1;
        if (!response.writableFinished) {
            report("dropped", { attempt });
        }
    });
    report("runs", { attempt });
    await (options.stage === undefined ? answerPlain : answerStream)(attempt, echo, response, headers);
}

async function answerPlain(attempt, echo, response) {
    await pause(behaviour.workMs ?? 20);
    if (response.destroyed) {
        return;
    }
    const head = { ...echo, "Server-Seal": `seal-${attempt}` };
    const body = Buffer.alloc(behaviour.bodyBytes ?? 800, `${attempt}.`);
    response.writeHead(200, { ...head, "Content-Length": body.length });
    response.end(body, () => report("answered", { attempt }));
}

async function answerStream(attempt, echo, response, headers) {
    const events = behaviour.events ?? 40;
    const interval = behaviour.intervalMs ?? 50;
    const head = { ...echo, "Server-Seal": `seal-${attempt}`, "Content-Type": "text/event-stream", "Weight-Versions": "1" };
    if (behaviour.unframed === true) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(200, head);
    const text = "y".repeat(behaviour.eventBytes ?? 60);
    for (let number = Number(headers["last-event-id"] ?? 0) + 1; number <= events && !response.destroyed; number++) {
        const canWrite = response.write(`id: ${number}\ndata: ${attempt} ${number} of ${events} ${text}\n\n`);
        await pause(interval);
        if (!canWrite && !response.destroyed) {
            await new Promise(resolve => {
                response.once("drain", resolve);
                response.once("close", resolve);
            });
        }
    }
    response.end(() => report("answered", { attempt }));
}
