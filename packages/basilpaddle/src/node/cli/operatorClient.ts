import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { type OperatorAnswer, operatorAnswerSchema, type PostedChange } from "../daemon/operators/index.js";

/** Milliseconds that a daemon gets beyond the time that it was asked to take. */
const answerMargin = 2_000;

/** Why a daemon's operators' interface gave no answer. */
export type ClientFailure = {
    /** `unreachable`: nothing was sent. `lost`: the request may have been carried out. */
    readonly kind: "unreachable" | "lost";
    readonly message: string;
};

/** Talks to the operators' interface of one daemon. */
export class OperatorClient {
    private readonly agent = new Agent({ connect: { timeout: 2_000 } });

    private constructor(private readonly at: string, private readonly timeout: number) {}

    /** Takes the address as `host:port` and the milliseconds that a request may take. */
    static create(at: string, timeout: number): OperatorClient {
        return new OperatorClient(at, timeout);
    }

    /** Reads something. */
    read(name: string, query: Readonly<Record<string, string | number | undefined>> = {}): ClientAnswer {
        const given = Object.entries(query).filter(([, value]) => value !== undefined);
        const search = new URLSearchParams(Object.fromEntries(given.map(([key, value]) => [key, String(value)])));
        return this.answerOf("GET", `/operator/v1/${name}`, search, undefined);
    }

    /** Sends a change of the configuration. */
    apply(change: PostedChange): ClientAnswer {
        return this.answerOf("POST", "/operator/v1/config", new URLSearchParams(), change);
    }

    /** Takes a backend server out. */
    drain(backend: string, operator: string): ClientAnswer {
        return this.answerOf("POST", "/operator/v1/drain", new URLSearchParams(), { backend, operator });
    }

    /** Lets a request run again that is held back. */
    release(digest: string, operator: string): ClientAnswer {
        return this.answerOf("POST", "/operator/v1/release", new URLSearchParams(), { digest, operator });
    }

    /** Reads the metrics as text. */
    metrics(): Promise<Either<ClientFailure, string>> {
        return this.send("GET", "/metrics", new URLSearchParams(), undefined);
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async answerOf(method: "GET" | "POST", path: string, search: URLSearchParams, body: unknown): ClientAnswer {
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
            const response = await request(`http://${this.at}${path}?${search.toString()}`, {
                method,
                dispatcher: this.agent,
                headersTimeout: this.timeout + answerMargin,
                bodyTimeout: this.timeout + answerMargin,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            return Right(await response.body.text());
        }
        catch (error) {
            const { code, message } = error as NodeJS.ErrnoException;
            const unsent = code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "ERR_INVALID_URL";
            return Left({ kind: unsent ? "unreachable" : "lost", message: `${this.at}: ${message}` });
        }
    }
}

type ClientAnswer = Promise<Either<ClientFailure, OperatorAnswer>>;

function parseAnswer(text: string): Either<ClientFailure, OperatorAnswer> {
    try {
        return Right(operatorAnswerSchema.parse(JSON.parse(text)));
    }
    catch {
        return Left({ kind: "lost", message: `the answer isn't one of basilpaddle's: ${text.slice(0, 200)}` });
    }
}
