import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** A received request: its socket, and the numbers of its connection and of the request, from 1. */
export type ServedRequest = { readonly socket: Socket; readonly connection: number; readonly request: number; };

/** A TCP server whose handler writes to the raw socket, so that it can violate HTTP or break the connection. */
export class RawTcpServer {
    connections = 0;
    requests = 0;
    readonly closings: Promise<unknown>[] = [];
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    static async create(handle: (request: ServedRequest) => void): Promise<RawTcpServer> {
        const server = createServer();
        const rawServer = new RawTcpServer(server);
        server.on("connection", socket => rawServer.accept(socket, handle));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return rawServer;
    }

    get url(): string {
        return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    async close(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
        await once(this.server, "close");
    }

    private accept(socket: Socket, handleRequest: (request: ServedRequest) => void): void {
        this.connections += 1;
        const connection = this.connections;
        this.sockets.add(socket);
        this.closings.push(new Promise(resolve => socket.on("close", resolve)));
        socket.on("error", () => {});
        let received = "";
        socket.on("data", chunk => {
            received += chunk.toString();
            const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
            const head = received.indexOf("\r\n\r\n");
            if (head !== -1 && received.length >= head + 4 + length) {
                received = "";
                this.requests += 1;
                handleRequest({ socket, connection, request: this.requests });
            }
        });
    }
}

/** A response with a content-length, on a connection that is kept alive. */
export function answer(status: number, body: unknown): string {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    return `HTTP/1.1 ${status} X\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
}

/** The response head of a stream that ends when the connection closes. */
export const streamHead = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
