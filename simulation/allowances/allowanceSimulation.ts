import { type OrganisationAllowances, TokenBucket } from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { Allowance } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { type Randomness, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { ManualClock } from "../manualClock.js";
import type { AllowanceDay } from "./day.js";
import { policies, type Policy } from "./policies.js";
import { SimulatedLeader } from "./simulatedLeader.js";

/** What a day showed. */
export type AllowanceOutcome = {
    /** Most units of one organisation in any window beyond rate and burst, as a fraction of these; 0 if never beyond. */
    readonly excess: number;
    /** Units that one bucket for all gateways would have admitted and that were refused, as a fraction of those admitted. */
    readonly refusedUnder: number;
    /**
     * Refused requests of the highest and of the lowest priority of the busy organisation while it is busy, or of all organisations
     * if none is, as a fraction of them.
     */
    readonly refusedHighest: number;
    readonly refusedLowest: number;
    /** Milliseconds that decisions took. */
    readonly p50: number;
    readonly p99: number;
    /** Messages per second that the leader received and sent, and the largest rate of one gateway. */
    readonly leaderMessages: number;
    readonly gatewayMessages: number;
};

const oneWayMilliseconds = 1.4;
/** Time of the leader for one message. */
const serviceMilliseconds = 0.2;
/** How long a gateway waits for the leader's answer, and after a timeout for its next attempt. */
const answerTimeoutMilliseconds = 250;
const probeMilliseconds = 300;
const windowMilliseconds = 8_000;
const millisecondsInSecond = 1_000;

type Organisation = {
    readonly name: string;
    readonly allowance: Allowance;
    readonly weight: number;
    readonly home: number;
};
type Admission = { readonly organisation: number; readonly at: number; readonly cost: number; };

type SimulatedGateway = {
    readonly allowances: OrganisationAllowances;
    /** Asks the leader for a placement, and finds out that none answers; reports of what was spent have no answer. */
    readonly requestPlacement: () => Promise<void>;
};

/** Plays a day with one implementation at every gateway. */
export async function simulateAllowances(day: AllowanceDay, policy: Policy, seed: number): Promise<AllowanceOutcome> {
    const clock = new ManualClock(1);
    const random = SeededRandomness.create(seed);
    const organisations = createOrganisations(day, random);
    const leader = new SimulatedLeader(clock, day, {
        version: 1,
        routes: [],
        services: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
        organisations: organisations.map(({ name, allowance }) => ({ name, keys: [], allowance })),
    });
    const sentMessages = new Array<number>(day.gateways).fill(0);
    const gateways = sentMessages.map((_, gateway) => createGateway(policy, day, gateway, leader, clock, sentMessages));
    const reference = organisations.map(({ allowance }) => TokenBucket.create(allowance, allowance.burst, 1));
    const admitted: Admission[] = [];
    const referenceUnits = new Array<number>(day.organisations).fill(0);
    const delays: number[] = [];
    const ranks = (day.priorities?.shares ?? [1]).map(() => ({ sent: 0, refused: 0 }));

    const arrive = async (): Promise<void> => {
        const organisation = pickOrganisation(organisations, day, clock.monotonic(), random);
        const { name, allowance, home } = organisations[organisation]!;
        const cost = sampleCost(day, random);
        const gateway = day.oneGateway ? home : pickGateway(day, random);
        const at = clock.monotonic();
        const rank = pickRank(day, random);
        referenceUnits[organisation]! += reference[organisation]!.takeIfAnyLeft(cost, at) ? cost : 0;
        const named = day.priorities?.named === true ? { rank } : {};
        const charge = { organisation: name, allowance, cost, attempt: String(delays.length), ...named };
        const decision = await gateways[gateway]!.allowances.admit(charge);
        delays.push(clock.monotonic() - at);
        if (day.busy === undefined || isBusy(day.busy, organisation, at)) {
            ranks[rank]!.sent += 1;
            ranks[rank]!.refused += decision.granted ? 0 : 1;
        }
        if (decision.granted) {
            admitted.push({ organisation, at, cost });
            void gateways[gateway]!.requestPlacement();
        }
    };
    const scheduleArrival = (): void => {
        const rate = totalRate(organisations, day, clock.monotonic());
        clock.after(-Math.log(1 - random.fraction()) * millisecondsInSecond / rate, () => {
            void arrive();
            scheduleArrival();
        });
    };
    scheduleArrival();
    day.leaderLost?.forEach(({ until }) => clock.after(until * millisecondsInSecond - 1, () => leader.restart()));
    await clock.advance(day.length * millisecondsInSecond);
    gateways.forEach(({ allowances }) => allowances.close());
    return {
        excess: Math.max(...organisations.map(({ allowance }, number) => excessOf(admitted, number, allowance))),
        refusedUnder: refusedUnder(admitted, referenceUnits),
        refusedHighest: ranks[0]!.refused / Math.max(1, ranks[0]!.sent),
        refusedLowest: ranks.at(-1)!.refused / Math.max(1, ranks.at(-1)!.sent),
        ...percentiles(delays),
        leaderMessages: leader.messages / day.length,
        gatewayMessages: Math.max(...sentMessages) / day.length,
    };
}

function createGateway(
    policy: Policy,
    day: AllowanceDay,
    gateway: number,
    leader: SimulatedLeader,
    clock: ManualClock,
    sentMessages: number[],
): SimulatedGateway {
    let [silentFrom, silentUntil] = [0, 0];
    const wait = (milliseconds: number): Promise<void> => new Promise(resolve => clock.after(milliseconds, resolve));
    /** Has the leader handle a message; undefined without an answer in time, after which the leader counts as silent for a while. */
    const exchange = async <Answer>(handle: () => Answer, hasAnswer = true): Promise<Answer | undefined> => {
        let answer: Answer | undefined;
        const answered = (async () => {
            await wait(oneWayMilliseconds + serviceMilliseconds);
            await wait(leader.delay());
            if (!leader.reaches(gateway)) {
                return new Promise<never>(() => undefined);
            }
            answer = handle();
            await wait(oneWayMilliseconds);
        })();
        if (!hasAnswer) {
            return undefined;
        }
        const isAnswered = await Promise.race([
            answered.then(() => true),
            wait(answerTimeoutMilliseconds).then(() => false),
        ]);
        if (!isAnswered) {
            silentFrom = clock.monotonic() - silentUntil > answerTimeoutMilliseconds + probeMilliseconds
                ? clock.monotonic()
                : silentFrom;
            silentUntil = clock.monotonic() + probeMilliseconds;
        }
        return isAnswered ? answer : undefined;
    };
    const allowances = policies[policy].create({
        gateways: () => day.gateways,
        clock,
        leader: {
            isAvailable: () => clock.monotonic() >= silentUntil,
            silentSince: () => clock.monotonic() < silentUntil ? silentFrom : undefined,
            name: () => leader.name(),
            isNearLimit: organisation => leader.isNearLimit(organisation),
            hasUsedUp: organisation => leader.hasUsedUp(organisation),
            charge: async (organisation, cost, rank) => {
                sentMessages[gateway]! += 1;
                return exchange(() => leader.charge(gateway, organisation, cost, rank));
            },
            recordSpent: spent => {
                sentMessages[gateway]! += 1;
                void exchange(() => leader.recordSpent(gateway, spent), false);
            },
        },
    });
    return {
        allowances,
        requestPlacement: async () => {
            if (clock.monotonic() >= silentUntil) {
                await exchange(() => true);
            }
        },
    };
}

function createOrganisations(day: AllowanceDay, random: Randomness): Organisation[] {
    const weights = Array.from({ length: day.organisations }, (_, rank) => (rank + 1) ** -day.sizeExponent);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map((weight, rank) => {
        const usual = day.requestRate * day.meanCost * weight / total;
        const rate = usual * day.rateFactor;
        return {
            name: `o-${rank}`,
            allowance: { unit: "tokens", rate, burst: rate * day.burstSeconds, defaultCost: 0 },
            weight,
            home: random.integer(0, day.gateways - 1),
        };
    });
}

function weightOf({ weight }: Organisation, rank: number, day: AllowanceDay, now: number): number {
    const { busy } = day;
    return weight * (busy !== undefined && isBusy(busy, rank, now) ? busy.factor : 1);
}

function isBusy(busy: NonNullable<AllowanceDay["busy"]>, rank: number, now: number): boolean {
    const seconds = now / millisecondsInSecond;
    return busy.rank === rank + 1 && busy.from <= seconds && seconds < busy.until;
}

function pickGateway({ gateways, gatewayExponent }: AllowanceDay, random: Randomness): number {
    if (gatewayExponent === undefined) {
        return random.integer(0, gateways - 1);
    }
    const weights = Array.from({ length: gateways }, (_, number) => (number + 1) ** -gatewayExponent);
    let position = random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex(weight => (position -= weight) < 0));
}

/** Draws the priority of a request. A day without priorities draws nothing, so that its requests stay the same. */
function pickRank({ priorities }: AllowanceDay, random: Randomness): number {
    if (priorities === undefined) {
        return 0;
    }
    let position = random.fraction();
    return Math.max(0, priorities.shares.findIndex(share => (position -= share) < 0));
}

function totalRate(organisations: readonly Organisation[], day: AllowanceDay, now: number): number {
    const usual = organisations.reduce((sum, { weight }) => sum + weight, 0);
    const current = organisations.reduce((sum, one, rank) => sum + weightOf(one, rank, day, now), 0);
    const { burst } = day;
    const seconds = now / millisecondsInSecond;
    const factor = burst !== undefined && burst.from <= seconds && seconds < burst.until ? burst.factor : 1;
    return day.requestRate * factor * current / usual;
}

function pickOrganisation(
    organisations: readonly Organisation[],
    day: AllowanceDay,
    now: number,
    random: Randomness,
): number {
    const total = organisations.reduce((sum, one, rank) => sum + weightOf(one, rank, day, now), 0);
    let position = random.fraction() * total;
    const found = organisations.findIndex((one, rank) => {
        position -= weightOf(one, rank, day, now);
        return position < 0;
    });
    return found < 0 ? 0 : found;
}

function sampleCost({ meanCost, costSpread }: AllowanceDay, random: Randomness): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
    return Math.round(meanCost * Math.exp(costSpread * normal - costSpread * costSpread / 2));
}

/** Most units in any window beyond what the allowance gives in it, as a fraction of that. */
function excessOf(admitted: readonly Admission[], organisation: number, { rate, burst }: Allowance): number {
    const own = admitted.filter(admission => admission.organisation === organisation);
    const allowed = rate * windowMilliseconds / millisecondsInSecond + burst;
    let first = 0;
    let units = 0;
    let most = 0;
    for (const { at, cost } of own) {
        units += cost;
        while (own[first]!.at < at - windowMilliseconds) {
            units -= own[first]!.cost;
            first += 1;
        }
        most = Math.max(most, units);
    }
    return Math.max(0, most / allowed - 1);
}

function refusedUnder(admitted: readonly Admission[], referenceUnits: readonly number[]): number {
    const units = new Array<number>(referenceUnits.length).fill(0);
    admitted.forEach(({ organisation, cost }) => units[organisation]! += cost);
    const missing = referenceUnits.reduce((sum, reference, number) => sum + Math.max(0, reference - units[number]!), 0);
    return missing / referenceUnits.reduce((sum, reference) => sum + reference, 0);
}

function percentiles(delays: number[]): { readonly p50: number; readonly p99: number; } {
    delays.sort((one, other) => one - other);
    const at = (fraction: number): number => delays[Math.floor(fraction * (delays.length - 1))] ?? 0;
    return { p50: at(0.5), p99: at(0.99) };
}
