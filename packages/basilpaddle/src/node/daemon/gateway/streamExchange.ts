import { PauseWatch } from "../../coordination/index.js";
import type { Announced, PlaceEnd, ServiceRule } from "../../protocol/index.js";
import { type BackendAnswer, discard, wholeBody } from "../backends/index.js";
import { type ArrivalEnd, Arrivals } from "./arrivals.js";
import type { CallerRequest } from "./callerRequest.js";
import { type ExchangeParts, Sender } from "./exchange.js";
import { placeDemand } from "./placeDemand.js";
import type { Place, PlacesClient } from "./placesClient.js";
import { freePrompt, readingLimit, type ReadPrompt } from "./readPrompt.js";
import { refuseHeld } from "./refuseHeld.js";
import { StreamPass } from "./streamPass.js";
import { TimeLimit } from "./timeLimit.js";
import { untilKnown } from "./untilKnown.js";

/** Largest answer in bytes of a call that only has the prompt read, or of a failure. */
const shortAnswerLimit = 1024 * 1024;
/** Turns of placing, reading and running that one request may take. */
const mostTurns = 4;
/** Part of a prompt cache's life within which it is offered to another engine; after that it may lapse on the way. */
const handleLifePart = 0.7;
/** Milliseconds after which a caller whom every engine turned away should come back. */
const turnedAwayComeBack = 300;
/** Milliseconds of silence of a stream after which its run is given up for lost, where it may go on elsewhere. */
const silenceLimit = 1_200;
/** Milliseconds for the head of a run's answer, where the run may be made elsewhere: an engine that is gone stays silent. */
const headPatience = 1_500;
const leastTime = 5;
/** Engines that a prompt's KV cache is offered to before it counts as lapsed. */
const mostOffers = 2;
/** Engines that couldn't be connected to which don't count as turns. */
const mostUnreached = 6;
const noRepeatLeft = "no repeat is left in the allowance";
const firstFailure = 400;

/** What came of a run at a decode engine. */
type RunEnd =
    | { readonly kind: "done"; }
    /** It didn't run there; the prompt's KV cache may still be there. */
    | { readonly kind: "turnedAway"; readonly cause: string; readonly unreachable: boolean; }
    /** It ran, or may have, and broke off. */
    | { readonly kind: "lost"; readonly cause: string; }
    /** Its engine answered with a failure of its own, which was passed on. */
    | { readonly kind: "failureGiven"; };

/** Has one request answered by the engines of a pool: a place, the prompt read, then the run. */
export class StreamExchange {
    private readonly sender: Sender;
    private readonly path: string[] = [];
    private readonly avoid: string[] = [];
    private runs = 0;
    private turns = 0;
    /** Times that the KV cache at hand was offered. */
    private offers = 0;
    private unreached = 0;
    private readsAtDecode = false;
    private readonly pass: StreamPass;
    private readonly arrivals: Arrivals;
    private read: ReadPrompt | undefined;

    private constructor(
        private readonly parts: ExchangeParts,
        private readonly places: PlacesClient,
        private readonly gateway: { readonly name: string; readonly failureDomain: string; },
        private readonly request: CallerRequest,
        private readonly service: ServiceRule,
    ) {
        this.sender = Sender.create(parts);
        this.arrivals = Arrivals.create(parts.repeats, service.name);
        this.pass = StreamPass.create(request, () => {
            places.prefilled(request.attempt);
            this.path.push(`first ${Math.round(request.age())}`);
        });
    }

    static create(
        parts: ExchangeParts,
        places: PlacesClient,
        gateway: { readonly name: string; readonly failureDomain: string; },
        request: CallerRequest,
        service: ServiceRule,
    ): StreamExchange {
        return new StreamExchange(parts, places, gateway, request, service);
    }

    /** Engines asked and what they did, for the log. */
    trace(): readonly string[] {
        return this.path;
    }

    /** Drives the request to its end. */
    async run(): Promise<void> {
        const { parts, request } = this;
        parts.repeats.request(this.service.name);
        try {
            while (!request.isGone() && request.outcome() === undefined) {
                await this.turn();
            }
        }
        finally {
            this.dropRead();
        }
    }

    private async turn(): Promise<void> {
        const { request, places } = this;
        if (this.refuseHeld()) {
            return;
        }
        this.turns += 1;
        const placedAt = this.now();
        const place = await places.reserve(
            placeDemand(request, this.service.name, this.gateway, this.avoid, this.parts.links.stalls(placedAt)),
            request.gone.signal,
        );
        if (place === undefined) {
            return;
        }
        if (place.kind === "refused") {
            this.path.push(`refused ${Math.round(this.now() - placedAt)}`);
            this.refuse(place.comeBackIn, place.reason);
            return;
        }
        this.path.push(`placed ${place.by} ${Math.round(this.now() - placedAt)}`);
        places.release(place.attempt, await this.use(place));
    }

    /** Uses a place up. */
    private async use(place: Place): Promise<PlaceEnd> {
        const { instances } = this.parts;
        await untilKnown(this.parts, place, () => this.request.isGone());
        const decode = instances.get(place.decode);
        const prefill = place.prefill === undefined ? undefined : instances.get(place.prefill);
        if (decode === undefined || (place.prefill !== undefined && prefill === undefined)) {
            const missing = decode === undefined ? place.decode : place.prefill!;
            this.again(missing, "an engine that has gone was placed");
            return { failed: missing };
        }
        if (this.refuseHeld()) {
            return {};
        }
        const reader = this.hasFreshRead() || this.readsAtDecode ? undefined : prefill;
        const arrivals = await this.arrivals.begin(reader !== undefined);
        if (arrivals === undefined) {
            this.refuse(turnedAwayComeBack, noRepeatLeft);
            return {};
        }
        if (!this.hasFreshRead()) {
            this.dropRead();
        }
        const unread = reader === undefined
            ? undefined
            : await this.readPrompt(reader, place.readingWithin, arrivals.read);
        if (unread !== undefined || this.request.isGone() || this.refuseHeld()) {
            arrivals.run("unreached");
            return unread ?? {};
        }
        return this.runAt(decode, arrivals.run);
    }

    /**
     * Has the prompt read. Gives how the place ended where it wasn't: the engine is to blame unless the caller left or
     * nothing was sent. An engine that is blamed gets no work for a while, and many callers leave just in a burst.
     */
    private async readPrompt(
        prefill: Announced,
        forecast: number | undefined,
        arrive: ArrivalEnd,
    ): Promise<PlaceEnd | undefined> {
        const { request, parts, places } = this;
        const startedAt = this.now();
        const limit = TimeLimit.create(parts.clock, readingLimit(request, forecast), request.gone.signal);
        try {
            const sent = await this.sender.send(request, prefill, this.service, { prefillOnly: true }, limit.signal);
            const handle = sent.kind === "answer" && sent.answer.status === 200
                ? parts.wire.prefilled((await wholeBody(sent.answer, shortAnswerLimit))?.toString("utf8") ?? "")
                : undefined;
            this.path.push(`read ${prefill.id} ${handle === undefined ? "failed" : "done"} ${this.since(startedAt)}`);
            if (handle !== undefined) {
                this.read = { engine: prefill, handle, readAt: this.now() };
                this.offers = 0;
                places.prefilled(request.attempt);
                return undefined;
            }
            if (sent.kind === "unknown" && !request.isGone()) {
                void parts.crashes.lost(request, prefill, "early");
            }
            const unreached = sent.kind === "notRun" && sent.unreachable;
            arrive(unreached ? "unreached" : handle === undefined ? "counted" : "read");
            this.noteUnreached(unreached);
            if (request.isGone()) {
                return {};
            }
            const cause = sent.kind === "answer" ? `status ${sent.answer.status}` : sent.cause;
            this.again(prefill.id, `the prompt wasn't read: ${cause}`);
            return { failed: prefill.id };
        }
        finally {
            limit.end();
        }
    }

    private async runAt(decode: Announced, arrive: ArrivalEnd): Promise<PlaceEnd> {
        const startedAt = this.now();
        const eventsBefore = this.pass.events();
        const end = await this.runOnce(decode);
        const unreached = end.kind === "turnedAway" && end.unreachable;
        arrive(unreached ? "unreached" : "counted");
        this.noteUnreached(unreached);
        const cause = "cause" in end ? ` (${end.cause})` : "";
        this.path.push(`run ${decode.id} ${end.kind} ${this.since(startedAt)}${cause}`);
        if (this.request.isGone()) {
            return {};
        }
        switch (end.kind) {
            case "done":
            case "failureGiven":
                return {};
            case "turnedAway":
                return this.turnedAway(decode, end);
            case "lost":
                void this.parts.crashes.lost(
                    this.request,
                    decode,
                    this.pass.events() === eventsBefore ? "early" : "late",
                );
                this.runs += 1;
                this.read = undefined;
                this.resume(decode.id, end.cause);
                // One broken stream says little of its engine; one that is gone refuses the next connection.
                return {};
        }
    }

    /**
     * Goes on after an engine turned the run away. The prompt's KV cache is offered to one more engine; turned away there
     * too, the next engine reads the prompt itself: reading it elsewhere first would waste as much again where caches
     * lapse.
     */
    private turnedAway(decode: Announced, end: Extract<RunEnd, { kind: "turnedAway"; }>): PlaceEnd {
        const { read } = this;
        this.again(decode.id, end.cause);
        if (end.unreachable) {
            return { failed: decode.id };
        }
        if (read === undefined) {
            return { turnedAwayBy: decode.id };
        }
        this.offers += 1;
        if (this.offers >= mostOffers) {
            this.dropRead();
            this.readsAtDecode = true;
        }
        return { turnedAwayBy: decode.id, readBy: read.engine.id };
    }

    private async runOnce(decode: Announced): Promise<RunEnd> {
        const { request, read, pass, parts } = this;
        const limit = TimeLimit.create(parts.clock, request.left(), request.gone.signal);
        const cancelHead = this.mayMove() ? parts.clock.after(headPatience, () => limit.cut()) : undefined;
        try {
            const sent = await this.sender.send(request, decode, this.service, {
                ...read === undefined ? {} : { source: { address: read.engine.address, handle: read.handle } },
                ...pass.lastEvent() === undefined ? {} : { resumeAfter: String(pass.lastEvent()) },
            }, limit.signal);
            cancelHead?.();
            if (sent.kind === "notRun") {
                return { kind: "turnedAway", cause: sent.cause, unreachable: sent.unreachable };
            }
            this.read = undefined;
            if (sent.kind === "unknown") {
                return { kind: "lost", cause: sent.cause };
            }
            const { answer, facts } = sent;
            if (answer.status >= firstFailure) {
                return await this.passFailure(answer);
            }
            if (!facts.sealed) {
                discard(answer);
                return { kind: "lost", cause: "an answer without its seal" };
            }
            return await this.stream(decode, answer, limit.signal);
        }
        finally {
            cancelHead?.();
            limit.end();
        }
    }

    /** Whether the run may be made again at another engine if this one is lost. */
    private mayMove(): boolean {
        const { route } = this.request;
        return route.resumable && this.runs + 1 < route.attempts;
    }

    /** Passes the engine's own failure on, unless a part of an answer was given already or it could be taken for a promise. */
    private async passFailure(answer: BackendAnswer): Promise<RunEnd> {
        const body = await wholeBody(answer, shortAnswerLimit);
        const { status } = answer;
        const promises = status === 503 || status === 429 || status === 408 || status === 421;
        if (body === undefined || promises || this.request.hasBegun()) {
            return { kind: "lost", cause: `the engine answered ${status}` };
        }
        this.request.give(answer, body);
        return { kind: "failureGiven" };
    }

    private async stream(decode: Announced, answer: BackendAnswer, signal: AbortSignal): Promise<RunEnd> {
        const { request, pass, parts } = this;
        const pauses = PauseWatch.create();
        const onBytes = (): void => parts.links.event(decode, pauses.event(this.now()), this.now());
        const end = await pass.pass(answer, this.mayMove() ? silenceLimit : undefined, signal, onBytes);
        if (pauses.longest() > (request.route.gap ?? Number.POSITIVE_INFINITY)) {
            this.path.push(`pause ${Math.round(pauses.longest())}`);
        }
        if (end.kind === "broken") {
            return { kind: "lost", cause: end.cause };
        }
        request.finish();
        if (answer.framed) {
            parts.crashes.answered(request);
        }
        else {
            // It ended with its connection: nobody can tell whether its engine ended it, or ended itself.
            void parts.crashes.lost(request, decode, "late");
        }
        return { kind: "done" };
    }

    /** Another engine is asked: nothing has run at this one. */
    private again(engine: string, cause: string): void {
        const { request } = this;
        this.avoid.push(engine);
        if (this.turns >= mostTurns || request.left() < leastTime) {
            this.refuse(turnedAwayComeBack, cause);
        }
    }

    /** A run broke off: it goes on elsewhere where its route allows it, else its caller is told. */
    private resume(engine: string, cause: string): void {
        const { request } = this;
        const { route } = request;
        this.avoid.push(engine);
        const mayRun = route.resumable && this.runs < route.attempts && this.turns < mostTurns;
        if (!mayRun || request.left() < leastTime) {
            request.fail(request.left() < leastTime ? 504 : 502, cause);
        }
    }

    private refuseHeld(): boolean {
        return refuseHeld(this.parts, this.request, this.runs > 0, this.path);
    }

    private refuse(comeBackIn: number, cause: string): void {
        const { request } = this;
        if (this.runs > 0 || request.hasBegun()) {
            request.fail(502, cause);
        }
        else {
            request.refuse(comeBackIn, cause);
        }
    }

    private hasFreshRead(): boolean {
        const life = (this.service.engine?.handleLife ?? 0) * handleLifePart;
        return this.read !== undefined && this.now() - this.read.readAt < life;
    }

    private dropRead(): void {
        const { read, parts } = this;
        this.read = undefined;
        if (read !== undefined) {
            freePrompt(parts, this.service, read);
        }
    }

    /**
     * An engine that can't be connected to has seen nothing, and costs no turn. When a quarter of the
     * engines crash at once, a request may meet several of them before word of it has come.
     */
    private noteUnreached(unreached: boolean): void {
        if (unreached) {
            this.unreached += 1;
            this.turns -= this.unreached <= mostUnreached ? 1 : 0;
        }
    }

    private since(startedAt: number): number {
        return Math.round(this.now() - startedAt);
    }

    private now(): number {
        return this.parts.clock.monotonic();
    }
}
