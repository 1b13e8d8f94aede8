import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { Pool, PoolCapacity } from "../../version/manifest.js";
import type { ActLedger, RecordedAct } from "../platform/actLedger.js";
import type { DomainOffer, FleetMember, PoolView, WorkRate } from "./capacityPlanner.js";

/** Measurements of a pool. */
export interface PoolMeasurement {
    /** Estimated work rate of one endpoint at which the request classes meet their targets. */
    readonly serviceRate: WorkRate;
    /** Time from the order of an endpoint to its first request. */
    readonly loadTime: Milliseconds;
    /** Rate of arriving work, by tier; tier 0 is the highest. */
    readonly demand: readonly WorkRate[];
    /** Number of the highest tiers that keep enough endpoints when one failure domain loses all its cheap endpoints. */
    readonly protectedTiers: number;
}

/** Time for which a failure domain counts as not offering a kind after it refused or reclaimed such endpoints. */
export const refusalCooldown: Milliseconds = 120_000;

/** Builds a planner's view of a pool; returns undefined for a pool without capacity settings, which is not planned. */
export function buildPoolView(
    pool: Pool,
    measurement: PoolMeasurement,
    ledger: Pick<ActLedger, "fleet" | "openActs" | "answeredActs">,
    now: UnixMilliseconds,
): PoolView | undefined {
    const { capacity } = pool;
    if (capacity === undefined) {
        return undefined;
    }
    return {
        pool: pool.name,
        engineKind: capacity.engineKind,
        offers: capacity.failureDomains.map(domain => offerOf(domain, pool.name, capacity, ledger, now)),
        steadyPricePerHour: capacity.steadyPricePerHour,
        cheapPricePerHour: capacity.cheapPricePerHour ?? capacity.steadyPricePerHour,
        spendLimitPerHour: capacity.spendLimitPerHour,
        minimumReplicas: capacity.minimumReplicas,
        maximumReplicas: capacity.maximumReplicas,
        ...measurement,
        fleet: [...orderedMembers(pool.name, ledger.openActs()), ...grantedMembers(pool.name, ledger)],
    };
}

function offerOf(
    failureDomain: string,
    pool: string,
    capacity: PoolCapacity,
    ledger: Pick<ActLedger, "fleet" | "answeredActs">,
    now: UnixMilliseconds,
): DomainOffer {
    const isRefused = (cheap: boolean): boolean =>
        ledger.answeredActs().some(act => isRefusal(act, failureDomain, pool, cheap, now));
    const reclaiming = ledger.fleet.list().some(endpoint =>
        endpoint.cheap
        && endpoint.failureDomain === failureDomain
        && endpoint.state === "leaving"
        && now - endpoint.changedAt < refusalCooldown
    );
    const cheapConfigured = capacity.cheapPricePerHour !== undefined
        && capacity.cheapFailureDomains.includes(failureDomain);
    return { failureDomain, steady: !isRefused(false), cheap: cheapConfigured && !reclaiming && !isRefused(true) };
}

/** Whether an act is a recent order of such endpoints that the failure domain did not grant or granted only in part. */
function isRefusal(
    { act, answer, answeredAt }: RecordedAct,
    failureDomain: string,
    pool: string,
    cheap: boolean,
    now: UnixMilliseconds,
): boolean {
    if (act.kind !== "startEndpoints" || now - (answeredAt ?? 0) >= refusalCooldown) {
        return false;
    }
    const sameKind = act.failureDomain === failureDomain && act.pool === pool && act.cheap === cheap;
    return sameKind && (answer?.kind === "failed" || (answer?.kind === "granted" && answer.unavailable > 0));
}

function orderedMembers(pool: string, openActs: readonly RecordedAct[]): readonly FleetMember[] {
    return openActs.flatMap(({ actId, act }) =>
        act.kind === "startEndpoints" && act.pool === pool
            ? [...Array(act.count).keys()].map((index): FleetMember => ({
                endpoint: `${actId}/${index}`,
                failureDomain: act.failureDomain,
                cheap: act.cheap,
                state: "ordered",
            }))
            : []
    );
}

function grantedMembers(pool: string, ledger: Pick<ActLedger, "fleet">): readonly FleetMember[] {
    return ledger.fleet.list().filter(endpoint => endpoint.pool === pool);
}
