import { RetryLedger } from "../../../../src/process/hosted/control/retryLedger.js";
import { HostedRetryBudget } from "../../../../src/process/hosted/entry/hostedRetryBudget.js";
import type { RetryGrant } from "../../../../src/process/hosted/retryPolicy.js";
import type { Milliseconds } from "../../../../src/util/clock.js";
import { RandomSource } from "../../../../src/util/randomSource.js";
import { SuspensionDetector } from "../../../../src/util/suspensionDetector.js";
import { VirtualClock } from "../../platform/virtualClock.js";
import { testBounds } from "../hostedBounds.js";
import { NoLeader } from "./noLeader.js";

/** One way between an entry and a control process. */
const networkDelay: Milliseconds = 2;

const heartbeatInterval: Milliseconds = 800;

/** Time that an entry waits for a leader that does not answer. */
const grantTimeout: Milliseconds = 150;

const service = "desk";

/** An entry of a {@link RetryFleet}. */
export class RetryFleetEntry extends NoLeader {
    readonly budget: HostedRetryBudget;
    isStopped = false;

    constructor(private readonly name: string, private readonly fleet: RetryFleet) {
        super();
        const { clock, random } = fleet;
        this.budget = new HostedRetryBudget({
            clock,
            suspensionDetector: new SuspensionDetector(clock),
            random,
            bounds: testBounds,
            entryCount: () => fleet.entries.length,
        });
    }

    override async requestRetry(): Promise<RetryGrant | undefined> {
        const { clock } = this.fleet;
        this.fleet.requests++;
        await clock.sleep(networkDelay);
        const { leader, term } = this.fleet;
        leader?.recordTerm(term, clock.now());
        if (leader?.isSettled(clock.now()) !== true) {
            await clock.sleep(leader === undefined ? grantTimeout : networkDelay);
            return undefined;
        }
        const grant = leader.request(this.name, service, clock.now());
        await clock.sleep(networkDelay);
        return grant;
    }

    /** Reports to all control processes, which may become leaders. */
    async runHeartbeats(): Promise<void> {
        const { clock, random, ledgers } = this.fleet;
        await clock.sleep(random.float() * heartbeatInterval);
        while (!this.isStopped) {
            for (const ledger of ledgers) {
                ledger.recordTerm(ledger === this.fleet.leader ? this.fleet.term : undefined, clock.now());
                ledger.recordReport(this.name, this.budget.report(clock.now()), clock.now());
            }
            await clock.sleep(heartbeatInterval);
        }
    }

    /** Makes calls at random times; each needs a retry with the given probability. */
    async runCalls(callsPerSecond: number, retryProbability: () => number): Promise<void> {
        const { clock, random } = this.fleet;
        while (!this.isStopped) {
            await clock.sleep(random.exponential(1_000 / callsPerSecond));
            this.fleet.recordCall();
            this.budget.recordCall(service, clock.now());
            if (random.float() < retryProbability()) {
                void this.retry();
            }
        }
    }

    /** Takes a retry if the budget allows it. */
    async retry(): Promise<boolean> {
        const isGranted = await this.budget.acquire(service, this);
        this.fleet.recordDecision(isGranted);
        return isGranted;
    }
}

/** Simulates entries that share a retry budget, and control processes, in virtual time. */
export class RetryFleet {
    readonly clock = new VirtualClock();
    readonly random: RandomSource;
    readonly ledgers = [0, 1, 2].map(() => new RetryLedger(testBounds));
    leader: RetryLedger | undefined = this.ledgers[0];
    term = 1;
    readonly entries: RetryFleetEntry[] = [];
    /** Number of requests to the leader. */
    requests = 0;
    denied = 0;
    private readonly calls: Milliseconds[] = [];
    private readonly retries: Milliseconds[] = [];

    constructor(seed: number) {
        this.random = new RandomSource(seed);
    }

    startEntries(count: number): void {
        for (let started = 0; started < count; started++) {
            const entry = new RetryFleetEntry(`entry-${this.entries.length}`, this);
            this.entries.push(entry);
            void entry.runHeartbeats();
        }
    }

    /** Lets another control process lead, or none. */
    elect(leader: RetryLedger | undefined): void {
        this.leader = leader;
        this.term++;
    }

    recordCall(): void {
        this.calls.push(this.clock.now());
    }

    recordDecision(isGranted: boolean): void {
        if (isGranted) {
            this.retries.push(this.clock.now());
        }
        this.denied += isGranted ? 0 : 1;
    }

    /** Number of retries in a span of time. */
    retriesBetween(start: Milliseconds, end: Milliseconds): number {
        return this.retries.filter(time => time > start && time <= end).length;
    }

    /** Largest fraction of the bound that the retries of any window of a span of time took. */
    largestUse(start: Milliseconds, end: Milliseconds): number {
        const { retryWindow, retryFraction, retryReserve } = testBounds;
        const ends = this.retries.filter(time => time > start && time <= end);
        return Math.max(
            0,
            ...ends.map(time => {
                const calls = this.calls.filter(at => at > time - retryWindow && at <= time).length;
                return this.retriesBetween(time - retryWindow, time) / (calls * retryFraction + retryReserve);
            }),
        );
    }
}
