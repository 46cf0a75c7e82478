import { type Either, Left, Right } from "purify-ts";
import {
    packText,
    type PlacementMessage,
    type ServerAnnouncement,
    type WatchRequest,
    type WatchUpdate,
} from "../../../protocol/index.js";
import { Link, type LinkFailure, Network } from "../../../transport/index.js";

/** How long a fake directory holds a watch request without changes open. */
const watchHoldMilliseconds = 20;

/** A fake directory; tests change its fields to change what it answers. */
export class FakeDirectory {
    version = -1;
    failureDomain = "a";
    leader: string | undefined;
    reachable = true;
    /** Whether it delays answers to placement messages, as a suspended process does; it answers them once this is false. */
    frozen = false;
    readonly placementMessages: PlacementMessage[] = [];
    documentsSent = 0;
    announced: ServerAnnouncement[] = [];
    /** Compresses the configuration that it sends. */
    pack: (content: string) => Uint8Array = packText;

    constructor(readonly name: string, private readonly members: () => readonly string[]) {}

    async answer(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        const message = body as { readonly kind: string; };
        if (!this.reachable) {
            await pause(Math.min(timeout, watchHoldMilliseconds));
            return Left({ kind: "unreachable", message: "unreachable" });
        }
        if (message.kind === "watch") {
            return Right(await this.watch(body as WatchRequest));
        }
        if (message.kind === "document") {
            this.documentsSent += 1;
            return Right({ version: this.version, packed: this.pack(`v${this.version}`) });
        }
        return this.place(body as PlacementMessage, timeout);
    }

    private async watch(watch: WatchRequest): Promise<WatchUpdate> {
        if (watch.version >= this.version) {
            await pause(watchHoldMilliseconds);
        }
        const newer = watch.wantsDocument && this.version > watch.version;
        this.documentsSent += newer ? 1 : 0;
        return {
            incarnation: "one",
            cursor: 0,
            version: this.version,
            ...newer ? { document: { version: this.version, packed: this.pack(`v${this.version}`) } } : {},
            announced: this.announced,
            members: [...this.members()],
            failureDomain: this.failureDomain,
            ...this.leader === undefined ? {} : { leader: this.leader },
            gateways: 2,
        };
    }

    private async place(message: PlacementMessage, timeout: number): Promise<Either<LinkFailure, unknown>> {
        this.placementMessages.push(message);
        const until = performance.now() + timeout;
        while (this.frozen) {
            if (performance.now() >= until) {
                return Left({ kind: "timeout", message: "frozen" });
            }
            await pause(Math.min(watchHoldMilliseconds, timeout));
        }
        if (message.kind === "probe" && this.leader === this.name) {
            return Right({ kind: "leading", term: 1 });
        }
        if (message.kind === "borrow" && this.leader === this.name) {
            return Right({ kind: "lent", granted: true });
        }
        if (message.kind !== "place" || this.leader !== this.name) {
            return Right({ kind: "elsewhere", leader: this.leader });
        }
        const { attempt } = message.demand;
        return Right({ kind: "decided", term: 1, decision: { kind: "placed", attempt, decode: "by-leader" } });
    }
}

/** Links to fake directories. */
export class FakeDirectories extends Network {
    readonly all: FakeDirectory[];

    private constructor(names: readonly string[]) {
        super();
        this.all = names.map(name => new FakeDirectory(name, () => names));
    }

    static create(names: readonly string[]): FakeDirectories {
        return new FakeDirectories(names);
    }

    override link(address: { readonly host: string; readonly port: number; }): Link {
        return new FakeLink(this.all.find(one => one.name === `${address.host}:${address.port}`)!);
    }
}

class FakeLink extends Link {
    constructor(private readonly directory: FakeDirectory) {
        super();
    }

    override request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        return this.directory.answer(body, timeout);
    }

    override send(body: unknown): void {
        this.directory.placementMessages.push(body as PlacementMessage);
    }

    override close(): void {}
}

/** Polls the condition until it is true; throws after 20 seconds. */
export async function until(condition: () => boolean): Promise<void> {
    const end = performance.now() + 20_000;
    while (!condition()) {
        if (performance.now() > end) {
            throw new Error("the condition didn't become true within 20 seconds");
        }
        await pause(5);
    }
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
