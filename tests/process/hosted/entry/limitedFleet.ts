import type { LimitStatement } from "../../../../src/connection/hosted/rateLimitMessages.js";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { RateLimitLedger } from "../../../../src/process/hosted/control/rateLimitLedger.js";
import { EndpointRateLimits } from "../../../../src/process/hosted/entry/endpointRateLimits.js";
import { GrantSource } from "../../../../src/process/hosted/entry/grantSource.js";
import type { GrantDecision } from "../../../../src/process/hosted/grantDecision.js";
import type { StatedRateLimit } from "../../../../src/request/hosted/callTraits.js";
import type { Milliseconds } from "../../../../src/util/clock.js";
import { RandomSource } from "../../../../src/util/randomSource.js";
import { SuspensionDetector } from "../../../../src/util/suspensionDetector.js";
import { VirtualClock } from "../../platform/virtualClock.js";

/** One way between an entry and a control process. */
const networkDelay: Milliseconds = 2;

/** Time from a call to the response that states the limit. */
const responseTime: Milliseconds = 30;

const heartbeatInterval: Milliseconds = 400;

/** Time that an entry waits for a leader that does not answer. */
const grantTimeout: Milliseconds = 150;

const eventLog = new EventLog("test", "hidden");

/** An entry of a {@link LimitedFleet}. */
class FleetEntry extends GrantSource {
    readonly limits: EndpointRateLimits;
    /** Whether the entry cannot reach any control process. */
    isCutOff = false;
    isStopped = false;
    private reportedVersion = 0;

    constructor(private readonly name: string, private readonly fleet: LimitedFleet) {
        super();
        const { clock, random } = fleet;
        this.limits = new EndpointRateLimits({
            clock,
            suspensionDetector: new SuspensionDetector(clock),
            random,
            eventLog,
            entryCount: () => fleet.entryCount,
        });
    }

    override get leaderId(): string | undefined {
        const { leader, ledgers } = this.fleet;
        return leader === undefined ? undefined : String(ledgers.indexOf(leader));
    }

    override requestRetry(): Promise<undefined> {
        return Promise.resolve(undefined);
    }

    override requestTrial(): Promise<boolean> {
        return Promise.resolve(false);
    }

    override async requestGrant(
        endpoint: string,
        maximumDelay: Milliseconds,
        statement: LimitStatement | undefined,
    ): Promise<GrantDecision | undefined> {
        const { clock } = this.fleet;
        await clock.sleep(networkDelay);
        const { leader } = this.fleet;
        if (this.isCutOff || leader === undefined) {
            await clock.sleep(grantTimeout);
            return undefined;
        }
        if (statement !== undefined) {
            leader.recordStatement(this.name, statement, clock.now());
        }
        const decision = leader.requestGrant(this.name, endpoint, maximumDelay, clock.now());
        await clock.sleep(networkDelay);
        return decision;
    }

    /** Exchanges statements and limits with the control processes. */
    async runHeartbeats(): Promise<void> {
        const { clock, random, ledgers } = this.fleet;
        await clock.sleep(random.float() * heartbeatInterval);
        while (!this.isStopped) {
            const { leader } = this.fleet;
            if (!this.isCutOff) {
                const statements = this.limits.statementsSince(this.reportedVersion, clock.now());
                this.reportedVersion = this.limits.version;
                for (const ledger of ledgers) {
                    statements.forEach(statement => {
                        ledger.recordStatement(this.name, statement, clock.now());
                    });
                }
                if (leader !== undefined) {
                    const { limits, leaderId = "" } = this;
                    limits.applyEnforcedLimits(leader.enforcedLimits(clock.now()), leaderId, clock.now());
                }
            }
            await clock.sleep(heartbeatInterval);
        }
    }

    /** Makes calls at random times, each to the first endpoint that may take it. */
    async runCalls(callsPerSecond: number): Promise<void> {
        const { clock, random } = this.fleet;
        while (!this.isStopped) {
            await clock.sleep(random.exponential(1_000 / callsPerSecond));
            void this.call();
        }
    }

    private async call(): Promise<void> {
        const { clock, endpoints, random } = this.fleet;
        const order = [...endpoints.keys()].sort(() => random.float() - 0.5);
        for (const endpoint of order) {
            if (
                this.limits.timeUntilRequest(endpoint, 0, clock.now()) === 0
                && await this.limits.acquire(endpoint, 0, this)
            ) {
                await clock.sleep(networkDelay);
                const stated = this.fleet.receive(endpoint);
                await clock.sleep(responseTime);
                this.limits.recordStatement(endpoint, stated, clock.now());
                return;
            }
        }
    }
}

/** Simulates entries, control processes and endpoints that state limits, in virtual time. */
export class LimitedFleet {
    readonly clock = new VirtualClock();
    readonly random: RandomSource;
    /** Limits by endpoint; undefined for an endpoint that states none. */
    readonly endpoints = new Map<string, number | undefined>();
    readonly ledgers: RateLimitLedger[] = [0, 1, 2].map(() => new RateLimitLedger(eventLog));
    leader: RateLimitLedger | undefined = this.ledgers[0];
    readonly entries: FleetEntry[] = [];
    private readonly arrivals = new Map<string, Milliseconds[]>();

    constructor(seed: number) {
        this.random = new RandomSource(seed);
    }

    get entryCount(): number {
        return this.entries.filter(({ isStopped }) => !isStopped).length;
    }

    /** Starts entries; `callsPerSecond` is the rate of each. */
    startEntries(count: number, callsPerSecond: number): void {
        for (let started = 0; started < count; started++) {
            const entry = new FleetEntry(`entry-${this.entries.length}`, this);
            this.entries.push(entry);
            void entry.runHeartbeats();
            void entry.runCalls(callsPerSecond);
        }
    }

    /** Starts a control process that knows nothing. */
    startControl(): RateLimitLedger {
        const ledger = new RateLimitLedger(eventLog);
        this.ledgers.push(ledger);
        return ledger;
    }

    /** Receives a call at an endpoint; returns the limit that it states. */
    receive(endpoint: string): StatedRateLimit {
        const arrivals = this.arrivals.get(endpoint) ?? [];
        arrivals.push(this.clock.now());
        this.arrivals.set(endpoint, arrivals);
        const callsPerSecond = this.endpoints.get(endpoint);
        return callsPerSecond === undefined
            ? { kind: "unlimited" }
            : { kind: "limited", callsPerSecond, isAmbiguous: false };
    }

    /** Number of calls that arrived at an endpoint in a span of time. */
    arrivalsBetween(endpoint: string, start: Milliseconds, end: Milliseconds): number {
        return this.arrivals.get(endpoint)?.filter(time => time >= start && time < end).length ?? 0;
    }

    /** Most calls that arrived at an endpoint within any window of four seconds of a span of time. */
    mostArrivals(endpoint: string, start: Milliseconds, end: Milliseconds): number {
        const times = this.arrivals.get(endpoint)?.filter(time => time >= start && time < end) ?? [];
        let most = 0;
        let first = 0;
        times.forEach((time, index) => {
            while ((times[first] ?? 0) <= time - 4_000) {
                first++;
            }
            most = Math.max(most, index - first + 1);
        });
        return most;
    }
}

/** Calls that an endpoint accepts in four seconds: half as many again as its limit allows, and five. */
export function acceptedArrivals(callsPerSecond: number): number {
    return 1.5 * callsPerSecond * 4 + 5;
}
