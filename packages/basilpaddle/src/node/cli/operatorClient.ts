import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { type OperatorAnswer, operatorAnswerSchema, type PostedChange } from "../daemon/operators/index.js";

/** Time that the client waits for an answer in addition to the timeout that it sends to the daemon. */
const answerMarginMilliseconds = 2_000;

/** Why there is no answer from the operators' interface of a daemon. */
export type ClientFailure = {
    /** `unreachable`: the request was not sent. `lost`: it may have been carried out. */
    readonly kind: "unreachable" | "lost";
    readonly message: string;
};

/** Client of the operators' interface of one daemon. */
export class OperatorClient {
    private readonly agent = new Agent({ connect: { timeout: 2_000 } });

    private constructor(private readonly address: string, private readonly timeout: number) {}

    /** Creates a client for the address `host:port`; `timeout` applies to each request, in milliseconds. */
    static create(address: string, timeout: number): OperatorClient {
        return new OperatorClient(address, timeout);
    }

    /** Reads the resource `name` of the operators' interface. */
    read(name: string, query: Readonly<Record<string, string | number | undefined>> = {}): ClientAnswer {
        const definedParameters = Object.entries(query).filter(([, value]) => value !== undefined);
        const search = new URLSearchParams(
            Object.fromEntries(definedParameters.map(([key, value]) => [key, String(value)])),
        );
        return this.requestAnswer("GET", `/operator/v1/${name}`, search, undefined);
    }

    /** Sends a change of the configuration. */
    apply(change: PostedChange): ClientAnswer {
        return this.requestAnswer("POST", "/operator/v1/config", new URLSearchParams(), change);
    }

    /** Marks the current incarnation of a backend server as `leaving`, as if it had sent a leave message. */
    drain(backend: string, operator: string): ClientAnswer {
        return this.requestAnswer("POST", "/operator/v1/drain", new URLSearchParams(), { backend, operator });
    }

    /** Releases a request from quarantine. */
    release(digest: string, operator: string): ClientAnswer {
        return this.requestAnswer("POST", "/operator/v1/release", new URLSearchParams(), { digest, operator });
    }

    /** Reads the metrics as text. */
    metrics(): Promise<Either<ClientFailure, string>> {
        return this.send("GET", "/metrics", new URLSearchParams(), undefined);
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async requestAnswer(
        method: "GET" | "POST",
        path: string,
        search: URLSearchParams,
        body: unknown,
    ): ClientAnswer {
        const text = await this.send(method, path, search, body);
        return text.chain(received => parseAnswer(received));
    }

    private async send(
        method: "GET" | "POST",
        path: string,
        search: URLSearchParams,
        body: unknown,
    ): Promise<Either<ClientFailure, string>> {
        search.set("timeout", String(this.timeout));
        try {
            const response = await request(`http://${this.address}${path}?${search.toString()}`, {
                method,
                dispatcher: this.agent,
                headersTimeout: this.timeout + answerMarginMilliseconds,
                bodyTimeout: this.timeout + answerMarginMilliseconds,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            return Right(await response.body.text());
        }
        catch (error) {
            const { code, message } = error as NodeJS.ErrnoException;
            const notSent = code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "ERR_INVALID_URL";
            return Left({ kind: notSent ? "unreachable" : "lost", message: `${this.address}: ${message}` });
        }
    }
}

type ClientAnswer = Promise<Either<ClientFailure, OperatorAnswer>>;

function parseAnswer(text: string): Either<ClientFailure, OperatorAnswer> {
    try {
        return Right(operatorAnswerSchema.parse(JSON.parse(text)));
    }
    catch {
        return Left({
            kind: "lost",
            message: `the answer doesn't match basilpaddle's protocol: ${text.slice(0, 200)}`,
        });
    }
}
