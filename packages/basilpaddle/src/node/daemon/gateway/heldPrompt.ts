import { type ServerAnnouncement, type ServiceRule, softwareVersionOf } from "../../protocol/index.js";
import type { ExchangeOptions } from "./backendSender.js";
import { freePromptCache, type PrefilledPrompt } from "./prefilledPrompt.js";

/** Fraction of a KV cache's lifetime within which it is offered to an engine; later it may expire before it is fetched. */
const handleLifeFraction = 0.7;
/** Number of engines that a prompt's KV cache is offered to before it is assumed to have expired. */
const maxOffers = 2;

/** The KV cache of a request's prompt, while it waits at its prefill engine for a decode engine. */
export class HeldPrompt {
    private prompt: PrefilledPrompt | undefined;
    /** Number of engines that rejected it. */
    private rejections = 0;
    private prefillsAtDecode = false;

    private constructor(private readonly exchange: ExchangeOptions, private readonly service: ServiceRule) {}

    static create(exchange: ExchangeOptions, service: ServiceRule): HeldPrompt {
        return new HeldPrompt(exchange, service);
    }

    /** The KV cache; undefined if there is none. */
    get(): PrefilledPrompt | undefined {
        return this.prompt;
    }

    /** The engine that has to run a prefill for a decode engine of that version; undefined if none has to. */
    prefillEngine(version: string, placed: ServerAnnouncement | undefined): ServerAnnouncement | undefined {
        return this.isUsable(version) || this.prefillsAtDecode ? undefined : placed;
    }

    /** Frees it unless a decode engine of that version may fetch it. */
    freeUnlessUsable(version: string): void {
        if (!this.isUsable(version)) {
            this.free();
        }
    }

    /** Holds the result of a prefill. */
    hold(engine: ServerAnnouncement, handle: string): void {
        this.prompt = { engine, handle, prefilledAt: this.exchange.clock.monotonic() };
        this.rejections = 0;
    }

    /** Records that a decode engine has fetched it, or may have. */
    recordFetched(): void {
        this.prompt = undefined;
    }

    /**
     * Records that a decode engine rejected it; returns its prefill engine, if there is one. It is offered to one more engine. If that rejects
     * it too, the next decode engine runs the prefill itself: a separate prefill would waste as much again if caches expire.
     */
    recordRejected(): ServerAnnouncement | undefined {
        const { prompt } = this;
        if (prompt === undefined) {
            return undefined;
        }
        this.rejections += 1;
        if (this.rejections >= maxOffers) {
            this.free();
            this.prefillsAtDecode = true;
        }
        return prompt.engine;
    }

    /** Frees it at its engine. */
    free(): void {
        const { prompt } = this;
        this.prompt = undefined;
        if (prompt !== undefined) {
            freePromptCache(this.exchange, this.service, prompt);
        }
    }

    private isUsable(version: string): boolean {
        const { prompt, service, exchange } = this;
        const maxAgeMilliseconds = (service.engine?.handleLife ?? 0) * handleLifeFraction;
        return prompt !== undefined && softwareVersionOf(prompt.engine) === version
            && exchange.clock.monotonic() - prompt.prefilledAt < maxAgeMilliseconds;
    }
}
