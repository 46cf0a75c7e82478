import type { PlacementRequest } from "../../protocol/index.js";

/** Tokens of KV cache of requests ahead of another one, by priority. */
export class TokensAhead {
    private readonly byPriority = new Map<number, number>();
    private sum = 0;

    static create(): TokensAhead {
        return new TokensAhead();
    }

    /** Tokens of all of them. */
    get total(): number {
        return this.sum;
    }

    add({ priority, cacheTokens }: Pick<PlacementRequest, "priority" | "cacheTokens">): void {
        this.sum += cacheTokens;
        this.byPriority.set(priority, this.of(priority) + cacheTokens);
    }

    /** Tokens of one priority. */
    of(priority: number): number {
        return this.byPriority.get(priority) ?? 0;
    }

    /** The priorities of which there are any. */
    priorities(): readonly number[] {
        return [...this.byPriority.keys()];
    }

    /** Tokens of the priorities for which the condition holds. */
    tokensWhere(condition: (priority: number) => boolean): number {
        let sum = 0;
        this.byPriority.forEach((tokens, priority) => sum += condition(priority) ? tokens : 0);
        return sum;
    }

    copy(): TokensAhead {
        return this.plus(TokensAhead.create(), () => true);
    }

    /** A copy that includes the requests of other ones' priorities for which the condition holds. */
    plus(other: TokensAhead, condition: (priority: number) => boolean): TokensAhead {
        const sum = TokensAhead.create();
        this.byPriority.forEach((cacheTokens, priority) => sum.add({ priority, cacheTokens }));
        for (const [priority, cacheTokens] of other.byPriority) {
            if (condition(priority)) {
                sum.add({ priority, cacheTokens });
            }
        }
        return sum;
    }
}
