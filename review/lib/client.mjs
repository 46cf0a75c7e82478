// Stand-ins for clients: one attempt on one connection.
import * as http from "node:http";

let counter = 0;
export function nextAttempt() {
    counter += 1;
    return `${process.pid.toString(16)}${counter.toString(16).padStart(6, "0")}`;
}

/**
 * Sends one request and resolves with how it ended: { attempt, status, complete, body, bytes, sealed, cause, milliseconds }.
 * `read`: "all" or a function that is given the response and reads it in its own way, and resolves once it has ended.
 */
export function request({ host, port }, { path, method = "POST", deadline, body, prompts, agent = false, read, headers = {}, onHead }) {
    const attempt = nextAttempt();
    const startedAt = performance.now();
    return new Promise(resolve => {
        const settle = end => resolve({ attempt, milliseconds: Math.round(performance.now() - startedAt), ...end });
        const sent = http.request({
            host,
            port,
            path,
            method,
            agent,
            headers: {
                Host: "a.example",
                "Attempt-Id": attempt,
                "Deadline-Milliseconds": String(deadline),
                ...prompts === true
                    ? { Model: "m", "Token-Counts": "800,72", "Prompt-Prefix": `5c1e07a2:200,${attempt}:600` }
                    : {},
                ...headers,
            },
        });
        const timer = setTimeout(() => {
            settle({ cause: "the client's time is over" });
            sent.destroy();
        }, deadline + 1_500);
        sent.on("error", error => {
            clearTimeout(timer);
            settle({ cause: error.message });
        });
        sent.on("response", response => {
            onHead?.(response, attempt);
            const chunks = [];
            let bytes = 0;
            response.on("error", () => undefined);
            const take = chunk => {
                bytes += chunk.length;
                chunks.push(chunk);
            };
            response.once("close", () => {
                clearTimeout(timer);
                settle({
                    status: response.statusCode,
                    complete: response.complete,
                    sealed: response.headers["server-seal"] !== undefined,
                    headers: response.headers,
                    bytes,
                    body: Buffer.concat(chunks).toString("latin1"),
                });
            });
            if (read === undefined) {
                response.on("data", take);
            }
            else {
                void read(response, take);
            }
        });
        sent.end(body);
    });
}
