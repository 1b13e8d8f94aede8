import type { EnforcedLimit, LimitStatement } from "../../../connection/hosted/rateLimitMessages.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import type { GrantDecision } from "../grantDecision.js";
import { enforcedRate } from "../rateLimitPolicy.js";
import { CallRateBucket } from "./callRateBucket.js";

/** Age up to which statements of different entries are compared, and the smallest applies. */
const statementValidity: Milliseconds = 2_000;

/** Time in which the rate of an endpoint doubles after its limit has ended. */
const recoveryDoublingTime: Milliseconds = 1_000;

/** Time after the end of a limit from which the rate is not limited any more. */
const recoveryTime: Milliseconds = 6_000;

/** Lowest rate at which the recovery begins. */
const minimumRecoveryRate = 1;

/** Time for which an entry that asked for a call counts as a contender. */
const contenderTime: Milliseconds = 5_000;

/** Time without statements and requests after which an endpoint is forgotten. */
const forgetTime: Milliseconds = 60_000;

/** A statement of one entry; the rate is undefined if no limit was stated. */
interface RecordedStatement {
    readonly rate: number | undefined;
    readonly statedAt: Milliseconds;
}

interface LimitedEndpoint {
    readonly bucket: CallRateBucket;
    /** The newest statement of each entry. */
    readonly statements: Map<string, RecordedStatement>;
    /** When each entry last asked for a call. */
    readonly contenders: Map<string, Milliseconds>;
    /** Smallest rate that was stated lately. */
    limitedRate: number;
    /** When the limit ended; undefined while it lasts. */
    endedAt: Milliseconds | undefined;
    grantedAt: Milliseconds | undefined;
    loggedRate: number | undefined;
    lastUsedAt: Milliseconds;
}

/**
 * Limits of endpoints as all entries state them, and the calls that the leader grants under them.
 *
 * All control processes record statements; only the leader, under its lease, grants calls, so that one bucket counts the
 * calls of all entries.
 */
export class RateLimitLedger {
    private readonly endpoints = new Map<string, LimitedEndpoint>();

    constructor(private readonly eventLog: EventLog) {}

    /** Records what an entry has read in a response. */
    recordStatement(
        entry: string,
        { endpoint, isLimited, callsPerSecond, age }: LimitStatement,
        now: Milliseconds,
    ): void {
        const known = this.endpoints.get(endpoint);
        if (known === undefined && !isLimited) {
            return;
        }
        const rate = enforcedRate(callsPerSecond);
        const limited = known ?? this.add(endpoint, rate, now);
        const statedAt = now - age;
        limited.lastUsedAt = now;
        if (statedAt >= (limited.statements.get(entry)?.statedAt ?? -Infinity)) {
            limited.statements.set(entry, { rate: isLimited ? rate : undefined, statedAt });
        }
    }

    /** Writes the rates that are in force while this process leads; followers know only statements. */
    write(writer: ExpositionWriter): void {
        writer.family("gullhall_endpoint_limit", "gauge", "Calls per second that all entries together may send.");
        for (const [endpoint, { loggedRate }] of this.endpoints) {
            if (loggedRate !== undefined) {
                writer.sample("gullhall_endpoint_limit", { endpoint }, loggedRate);
            }
        }
    }

    /** Forgets endpoints of which nothing was heard for long. */
    prune(now: Milliseconds): void {
        for (const [endpoint, { lastUsedAt }] of this.endpoints) {
            if (now - lastUsedAt > forgetTime) {
                this.forget(endpoint);
            }
        }
    }

    /** Decides on a request of an entry for one call that may be delayed. */
    requestGrant(entry: string, endpoint: string, maximumDelay: Milliseconds, now: Milliseconds): GrantDecision {
        const limited = this.endpoints.get(endpoint);
        const rate = limited === undefined ? undefined : this.currentRate(endpoint, limited, now);
        if (limited === undefined || rate === undefined) {
            return { isGranted: true, delay: 0, contenders: 0 };
        }
        limited.contenders.set(entry, now);
        limited.lastUsedAt = now;
        const decision = limited.bucket.take(rate, maximumDelay, now);
        limited.grantedAt = decision.isGranted ? now + decision.delay : limited.grantedAt;
        return { ...decision, contenders: countContenders(limited, now) };
    }

    /** The limited endpoints with the rates in force. */
    enforcedLimits(now: Milliseconds): readonly EnforcedLimit[] {
        return [...this.endpoints].flatMap(([endpoint, limited]) => {
            const callsPerSecond = this.currentRate(endpoint, limited, now);
            if (callsPerSecond === undefined) {
                return [];
            }
            const { grantedAt } = limited;
            const idleTime = grantedAt === undefined ? {} : { idleTime: Math.max(0, now - grantedAt) };
            return [{ endpoint, callsPerSecond, ...idleTime }];
        });
    }

    private add(endpoint: string, rate: number, now: Milliseconds): LimitedEndpoint {
        const limited: LimitedEndpoint = {
            bucket: new CallRateBucket(now),
            statements: new Map(),
            contenders: new Map(),
            limitedRate: rate,
            endedAt: undefined,
            grantedAt: undefined,
            loggedRate: undefined,
            lastUsedAt: now,
        };
        this.endpoints.set(endpoint, limited);
        return limited;
    }

    /** The rate in force; undefined, and the endpoint is forgotten, once it is not limited any more. */
    private currentRate(endpoint: string, limited: LimitedEndpoint, now: Milliseconds): number | undefined {
        const statedRate = statedRateOf(limited, now);
        if (statedRate !== undefined) {
            limited.limitedRate = statedRate;
            limited.endedAt = undefined;
        }
        else {
            limited.endedAt ??= now;
        }
        if (limited.endedAt !== undefined && now - limited.endedAt > recoveryTime) {
            this.forget(endpoint);
            return undefined;
        }
        if (limited.endedAt === undefined && limited.loggedRate !== limited.limitedRate) {
            limited.loggedRate = limited.limitedRate;
            this.eventLog.write("endpointLimitInForce", { endpoint, callsPerSecond: limited.limitedRate });
        }
        const rate = limited.endedAt === undefined
            ? limited.limitedRate
            : recoveryRate(limited.limitedRate, now - limited.endedAt);
        limited.bucket.leak(rate, now);
        return rate;
    }

    private forget(endpoint: string): void {
        const limited = this.endpoints.get(endpoint);
        this.endpoints.delete(endpoint);
        if (limited?.loggedRate !== undefined) {
            this.eventLog.write("endpointLimitEnded", { endpoint });
        }
    }
}

/** The smallest rate of recent statements, or the newest statement's; undefined if no limit is stated any more. */
function statedRateOf({ statements }: LimitedEndpoint, now: Milliseconds): number | undefined {
    const all = [...statements.values()];
    const recent = all.filter(({ statedAt }) => now - statedAt < statementValidity);
    const newest = all.reduce((a, b) => b.statedAt > a.statedAt ? b : a);
    const rates = (recent.length > 0 ? recent : [newest]).map(({ rate }) => rate ?? Infinity);
    const smallest = Math.min(...rates);
    return smallest === Infinity ? undefined : smallest;
}

function recoveryRate(limitedRate: number, elapsed: Milliseconds): number {
    return Math.max(minimumRecoveryRate, limitedRate) * 2 ** (elapsed / recoveryDoublingTime);
}

function countContenders({ contenders }: LimitedEndpoint, now: Milliseconds): number {
    for (const [entry, askedAt] of contenders) {
        if (now - askedAt > contenderTime) {
            contenders.delete(entry);
        }
    }
    return contenders.size;
}
