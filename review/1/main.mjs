// A gateway is told to stop while it forwards streams without a length that last longer than its grace period.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, trouble } from "../lib/case.mjs";
import { request } from "../lib/client.mjs";
import { configuration, pause } from "../lib/deployment.mjs";

const streams = 6;
/** 220 events at 50 ms: 11 s, within the route's `timeout_ms` and the client's time limit of 14 s. */
const events = Number(process.env.EVENTS ?? 220);
/** SIGTERM is the case; SIGKILL, and fewer events, show the same where a gateway is killed. */
const signal = process.env.SIGNAL ?? "SIGTERM";
const behaviour = { unframed: true, events, intervalMs: 50 };

await runCase(path.dirname(fileURLToPath(import.meta.url)), { gateways: 2 }, async (deployment, record) => {
    await deployment.start(configuration(7));
    await deployment.addWorker({ name: "prefill", service: "pool", stage: "prefill" });
    for (const name of ["decode-a", "decode-b"]) {
        await deployment.addWorker({ name, service: "pool", stage: "decode", behaviour });
    }
    await deployment.addWorker({ name: "plain", service: "plain", slots: 6 });
    await pause(1_500);
    const [gateway] = deployment.gateways;
    const sent = Array.from({ length: streams }, () => {
        return request(deployment.callersOf(gateway), { path: "/stream/x", deadline: 14_000, body: "b", prompts: true });
    });
    await pause(1_000);
    if (trouble) {
        record.line(`${signal} to ${gateway.name}`);
        gateway.signal(signal);
    }
    const ends = await Promise.all(sent);
    let wrong = 0;
    for (const { attempt, status, complete, sealed, body = "", cause, milliseconds } of ends) {
        const received = body.match(/^id: /gm)?.length ?? 0;
        const isWhole = body.endsWith("\n\n") && body.includes(` ${events} of ${events} `);
        record.line(
            `client ${attempt}: status ${status}, seal ${sealed}, looks complete ${complete}, ${received} of ${events} events,`
                + ` whole ${isWhole}, ${milliseconds} ms ${cause ?? ""}`,
        );
        wrong += status === 200 && sealed && complete && !isWhole ? 1 : 0;
    }
    if (ends.every(({ status }) => status !== 200)) {
        throw new Error("no stream was served");
    }
    const text = `${wrong} of ${streams} clients got a success that looks complete and isn't the worker's whole answer`;
    record.line(text);
    console.log(text);
    return wrong > 0;
});
