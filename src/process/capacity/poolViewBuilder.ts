import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { Pool, PoolCapacity } from "../../version/manifest.js";
import type { ActLedger, RecordedAct } from "../platform/actLedger.js";
import type { DomainOffer, FleetMember, PoolView, WorkRate } from "./capacityPlanner.js";

/** What is measured of a pool. */
export interface PoolMeasurement {
    readonly serviceRate: WorkRate;
    readonly loadTime: Milliseconds;
    /** Work that arrives, by tier. */
    readonly demand: readonly WorkRate[];
    readonly protectedTiers: number;
}

/** For how long a failure domain is not asked again after it refused or reclaimed endpoints of a kind. */
export const refusalPause: Milliseconds = 120_000;

/** Puts together what a planner knows of a pool; undefined where the system orders nothing for it. */
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
    const refused = (cheap: boolean): boolean =>
        ledger.answeredActs().some(act => isRefusal(act, failureDomain, pool, cheap, now));
    const reclaiming = ledger.fleet.list().some(endpoint =>
        endpoint.cheap
        && endpoint.failureDomain === failureDomain
        && endpoint.state === "leaving"
        && now - endpoint.changedAt < refusalPause
    );
    const sold = capacity.cheapPricePerHour !== undefined && capacity.cheapFailureDomains.includes(failureDomain);
    return { failureDomain, steady: !refused(false), cheap: sold && !reclaiming && !refused(true) };
}

function isRefusal(
    { act, answer, answeredAt }: RecordedAct,
    failureDomain: string,
    pool: string,
    cheap: boolean,
    now: UnixMilliseconds,
): boolean {
    if (act.kind !== "startEndpoints" || now - (answeredAt ?? 0) >= refusalPause) {
        return false;
    }
    const sameKind = act.failureDomain === failureDomain && act.pool === pool && act.cheap === cheap;
    return sameKind && (answer?.kind === "failed" || (answer?.kind === "granted" && answer.unavailable > 0));
}

function orderedMembers(pool: string, open: readonly RecordedAct[]): readonly FleetMember[] {
    return open.flatMap(({ actId, act }) =>
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
