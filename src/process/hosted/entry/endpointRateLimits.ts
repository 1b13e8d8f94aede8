import type { EnforcedLimit, LimitStatement } from "../../../connection/hosted/rateLimitMessages.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { StatedRateLimit } from "../../../request/hosted/callTraits.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import type { SuspensionDetector } from "../../../util/suspensionDetector.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import { enforcedRate, probeIdleTime } from "../rateLimitPolicy.js";
import type { GrantSource } from "./grantSource.js";
import { LimitedEndpoint } from "./limitedEndpoint.js";

/** Time after its due time for which a grant may be used; longer delays mean that this process was suspended. */
const grantValidity: Milliseconds = 500;

/** Time for which no request is made after the leader did not respond. */
const leaderSilenceTime: Milliseconds = 500;

/** Age from which an own statement gives way to the leader's list of limits. */
const ownStatementTime: Milliseconds = 3_000;

/** A statement that this entry has read itself, or reports to a new leader. */
interface OwnStatement {
    readonly stated: StatedRateLimit;
    readonly statedAt: Milliseconds;
    /** Number of the change, for links that report only new statements. */
    readonly version: number;
}

/** Dependencies of the limits. */
export interface EndpointRateLimitsContext {
    readonly clock: Clock;
    readonly suspensionDetector: SuspensionDetector;
    readonly random: RandomSource;
    readonly eventLog: EventLog;
    readonly entryCount: () => number;
}

/**
 * Limits of the calls per second that endpoints take from all entries together, as this entry knows them.
 *
 * A call to a limited endpoint needs a grant of the leader, which counts the calls of all entries. While no leader
 * responds, an entry sends an occasional call on its own.
 */
export class EndpointRateLimits {
    private readonly limited = new Map<string, LimitedEndpoint>();
    private readonly ownStatements = new Map<string, OwnStatement>();
    private newestVersion = 0;
    /** The leader whose list was applied last. */
    private listedBy: string | undefined;
    private leaderSilentUntil: Milliseconds = -Infinity;
    private granted = 0;
    private denied = 0;
    private sentWithoutLeader = 0;

    constructor(private readonly context: EndpointRateLimitsContext) {}

    /** Number of the newest statement. */
    get version(): number {
        return this.newestVersion;
    }

    /** Records what a response of an endpoint states. */
    recordStatement(endpoint: string, stated: StatedRateLimit, now: Milliseconds): void {
        const previous = this.ownStatements.get(endpoint);
        const isLimited = stated.kind !== "unlimited";
        if (!isLimited && !this.limited.has(endpoint)) {
            return;
        }
        if (!isSameStatement(previous?.stated, stated)) {
            this.context.eventLog.write("endpointLimitStated", {
                endpoint,
                stated: stated.kind,
                callsPerSecond: stated.kind === "limited" ? stated.callsPerSecond : undefined,
                isAmbiguous: stated.kind === "limited" ? stated.isAmbiguous : undefined,
            });
        }
        this.addStatement(endpoint, stated, now);
        if (isLimited) {
            const known = this.limited.get(endpoint);
            // A limit that cannot be parsed leaves a known one in force.
            const rate = stated.kind === "limited"
                ? enforcedRate(stated.callsPerSecond)
                : known?.callsPerSecond ?? enforcedRate(undefined);
            this.limit(endpoint, Math.min(rate, known?.callsPerSecond ?? Infinity));
        }
    }

    /** Statements with a higher version than the given one. */
    statementsSince(version: number, now: Milliseconds): readonly LimitStatement[] {
        return [...this.ownStatements].flatMap(([endpoint, own]) =>
            own.version > version ? [this.toMessage(endpoint, own, now)] : []
        );
    }

    /**
     * Applies the leader's list of limits, which is complete but for statements that have not reached it yet.
     *
     * A new leader may not know the limits of the previous one; they are reported to it as statements.
     */
    applyEnforcedLimits(limits: readonly EnforcedLimit[], leaderId: string, now: Milliseconds): void {
        const isNewLeader = leaderId !== this.listedBy;
        this.listedBy = leaderId;
        const listed = new Set(limits.map(({ endpoint }) => endpoint));
        for (const { endpoint, callsPerSecond, idleTime } of limits) {
            const limitedEndpoint = this.limit(endpoint, callsPerSecond);
            if (idleTime !== undefined) {
                limitedEndpoint.recordGrant(now - idleTime);
            }
        }
        for (const [endpoint, { callsPerSecond }] of this.limited) {
            const own = this.ownStatements.get(endpoint);
            if (listed.has(endpoint) || (own !== undefined && now - own.statedAt <= ownStatementTime)) {
                continue;
            }
            if (isNewLeader) {
                this.addStatement(endpoint, { kind: "limited", callsPerSecond, isAmbiguous: false }, now);
            }
            else {
                this.limited.delete(endpoint);
                this.ownStatements.delete(endpoint);
            }
        }
    }

    /** Whether calls to an endpoint need a grant. */
    isLimited(endpoint: string): boolean {
        return this.limited.has(endpoint);
    }

    /** Time until it is worthwhile to ask for a call with at most the given delay; 0 for an endpoint without a limit. */
    timeUntilRequest(endpoint: string, maximumDelay: Milliseconds, now: Milliseconds): Milliseconds {
        return this.limited.get(endpoint)?.timeUntilRequest(maximumDelay, now) ?? 0;
    }

    /** Time until a call to an endpoint could be granted; 0 for an endpoint without a limit. */
    timeUntilGrantable(endpoint: string, now: Milliseconds): Milliseconds {
        return this.limited.get(endpoint)?.timeUntilGrantable(now) ?? 0;
    }

    /** Whether a call should be sent to an endpoint to learn whether its limit still holds. */
    isProbeDue(endpoint: string, now: Milliseconds): boolean {
        return this.limited.get(endpoint)?.isProbeDue(probeIdleTime, this.context.entryCount(), now) ?? false;
    }

    /**
     * Waits for permission to send one call to an endpoint.
     *
     * @param maximumDelay Longest acceptable wait for a call that is granted in advance.
     * @returns Whether the call may be sent now.
     */
    async acquire(endpoint: string, maximumDelay: Milliseconds, source: GrantSource): Promise<boolean> {
        const limited = this.limited.get(endpoint);
        if (limited === undefined) {
            return true;
        }
        const { clock, suspensionDetector } = this.context;
        const askedAt = suspensionDetector.now();
        const statement = this.unknownTo(source.leaderId, endpoint, clock.now());
        if (clock.now() < this.leaderSilentUntil) {
            return this.takeCallWithoutLeader(limited, clock.now());
        }
        const grant = await source.requestGrant(endpoint, maximumDelay, statement);
        const now = clock.now();
        if (grant === undefined) {
            this.leaderSilentUntil = now + leaderSilenceTime;
            return this.takeCallWithoutLeader(limited, now);
        }
        if (!grant.isGranted) {
            this.denied++;
            limited.recordDenial(grant.delay, grant.contenders, now);
            return false;
        }
        if (grant.delay > 0) {
            await clock.sleep(grant.delay);
        }
        const isInTime = suspensionDetector.now() - askedAt <= grant.delay + grantValidity;
        this.granted += isInTime ? 1 : 0;
        limited.recordGrant(now + grant.delay);
        return isInTime;
    }

    write(writer: ExpositionWriter): void {
        writer.family("gullhall_endpoint_limit", "gauge", "Calls per second that all entries together may send.");
        for (const [endpoint, { callsPerSecond }] of this.limited) {
            writer.sample("gullhall_endpoint_limit", { endpoint }, callsPerSecond);
        }
        writer.family("gullhall_endpoint_grants_total", "counter", "Calls to endpoints with limits, by decision.");
        for (
            const [decision, count] of Object.entries({
                granted: this.granted,
                denied: this.denied,
                withoutLeader: this.sentWithoutLeader,
            })
        ) {
            writer.sample("gullhall_endpoint_grants_total", { decision }, count);
        }
    }

    private addStatement(endpoint: string, stated: StatedRateLimit, statedAt: Milliseconds): void {
        this.newestVersion++;
        this.ownStatements.set(endpoint, { stated, statedAt, version: this.newestVersion });
    }

    /** What the leader may not know of a limit: an own statement, or a limit that a previous leader listed. */
    private unknownTo(leaderId: string | undefined, endpoint: string, now: Milliseconds): LimitStatement | undefined {
        const own = this.ownStatements.get(endpoint);
        if (own !== undefined) {
            return this.toMessage(endpoint, own, now);
        }
        const callsPerSecond = this.limited.get(endpoint)?.callsPerSecond;
        return callsPerSecond === undefined || leaderId === this.listedBy
            ? undefined
            : { endpoint, isLimited: true, callsPerSecond, age: 0 };
    }

    private takeCallWithoutLeader(limited: LimitedEndpoint, now: Milliseconds): boolean {
        const isTaken = limited.takeCallWithoutLeader(this.context.entryCount(), now);
        this.sentWithoutLeader += isTaken ? 1 : 0;
        this.denied += isTaken ? 0 : 1;
        return isTaken;
    }

    private limit(endpoint: string, callsPerSecond: number): LimitedEndpoint {
        const known = this.limited.get(endpoint) ?? new LimitedEndpoint(callsPerSecond, this.context.random);
        known.callsPerSecond = callsPerSecond;
        this.limited.set(endpoint, known);
        return known;
    }

    private toMessage(endpoint: string, { stated, statedAt }: OwnStatement, now: Milliseconds): LimitStatement {
        const age = Math.max(0, now - statedAt);
        switch (stated.kind) {
            case "unlimited":
                return { endpoint, isLimited: false, age };
            case "malformed": {
                const callsPerSecond = this.limited.get(endpoint)?.callsPerSecond;
                return { endpoint, isLimited: true, age, ...callsPerSecond === undefined ? {} : { callsPerSecond } };
            }
            case "limited":
                return { endpoint, isLimited: true, callsPerSecond: stated.callsPerSecond, age };
        }
    }
}

function isSameStatement(a: StatedRateLimit | undefined, b: StatedRateLimit): boolean {
    return a?.kind === b.kind
        && (a.kind !== "limited" || b.kind !== "limited"
            || (a.callsPerSecond === b.callsPerSecond && a.isAmbiguous === b.isAmbiguous));
}
