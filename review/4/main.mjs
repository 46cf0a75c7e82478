// Another writer sends pings that name no worker: their address isn't an IP:PORT.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, trouble } from "../lib/case.mjs";
import { request } from "../lib/client.mjs";
import { bounds, call, configuration, pause } from "../lib/deployment.mjs";

const seconds = 95;
/** A port has at most five digits and is 65,535 at most: this address names no worker. */
const foreign = {
    service: "pool",
    address: "127.0.0.1:99999",
    zone: "zone-a",
    version: "v9",
    slots: 96,
    state: "ready",
    cold_remaining_ms: 0,
    stage: "prefill",
    models: [],
};
const endsThatCount = 3;

await runCase(path.dirname(fileURLToPath(import.meta.url)), { gateways: 2 }, async (deployment, record) => {
    await deployment.start(configuration(7));
    for (const [name, stage] of [["prefill", "prefill"], ["decode-a", "decode"], ["decode-b", "decode"]]) {
        await deployment.addWorker({ name, service: "pool", stage });
    }
    await deployment.addWorker({ name: "plain", service: "plain", slots: 6 });
    await pause(1_500);
    let sequence = 0;
    const sendPing = async () => {
        sequence += 1;
        for (const address of deployment.controlAddresses()) {
            const body = JSON.stringify({ ...foreign, sequence });
            const answer = await call(`http://${address}/instances/other-writer/heartbeat`, "POST", body).catch(() => ({}));
            record.line(`ping ${sequence} of another writer to ${address}: ${answer.status ?? "no answer"}`);
            if (answer.status !== undefined) {
                return;
            }
        }
    };
    const timer = trouble ? setInterval(() => void sendPing(), bounds.heartbeat_ms) : undefined;
    const startedAt = performance.now();
    const sent = [];
    while (performance.now() - startedAt < seconds * 1_000) {
        const gateway = deployment.gateways[sent.length % 2];
        const isStream = sent.length % 4 < 2;
        sent.push(
            request(deployment.callersOf(gateway), {
                path: isStream ? "/stream/x" : "/once/x",
                deadline: isStream ? 14_000 : 1_500,
                body: "b",
                prompts: isStream,
            }),
        );
        await pause(200);
    }
    clearInterval(timer);
    const ends = await Promise.all(sent);
    for (const { attempt, status, complete, milliseconds, cause } of ends) {
        record.line(`client ${attempt}: status ${status}, complete ${complete}, ${milliseconds} ms ${cause ?? ""}`);
    }
    const served = ends.filter(({ status, complete }) => status === 200 && complete).length;
    record.line(`${served} of ${ends.length} requests were served`);
    const exits = deployment.directories.map(({ name, ends: own }) => {
        const count = own.filter(({ expected }) => !expected).length;
        record.line(`${name} ended by itself ${count} times`);
        return count;
    });
    const often = exits.filter(count => count >= endsThatCount).length;
    const text = `core processes ended by themselves ${exits.join(", ")} times;`
        + ` ${often} of ${exits.length} did so ${endsThatCount} times or more`;
    record.line(text);
    console.log(text);
    return often * 2 >= exits.length;
});
