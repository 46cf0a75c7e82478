import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** Streams tokens as an engine does, in a separate process: `attempt` is `<tokens>/<milliseconds between two>/<n>`. */
const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", chunk => chunks.push(chunk as Buffer));
    request.on("end", () => {
        const { attempt } = JSON.parse(Buffer.concat(chunks).toString()) as { readonly attempt: string; };
        const [tokens, interval] = attempt.split("/").map(Number) as [number, number];
        response.writeHead(200);
        let offset = 0;
        const line = () => `{"kind":"token","offset":${offset++},"text":" wordy"}\n`;
        const end = () => response.end(`{"kind":"end","offset":${offset},"reason":"stop"}\n`);
        if (interval === 0) {
            const writeMore = () => {
                while (offset < tokens) {
                    if (!response.write(Array.from({ length: Math.min(50, tokens - offset) }, line).join(""))) {
                        response.once("drain", writeMore);
                        return;
                    }
                }
                end();
            };
            writeMore();
            return;
        }
        const timer = setInterval(() => {
            response.write(line());
            if (offset >= tokens) {
                clearInterval(timer);
                end();
            }
        }, interval);
    });
});
server.listen(0, "127.0.0.1", () => process.send!((server.address() as AddressInfo).port));
