import fastCheck from "fast-check";
import { createHash } from "node:crypto";
import { match, P } from "ts-pattern";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { ActExecutor } from "../../../src/process/platform/actExecutor.js";
import type { PlatformTaskContext } from "../../../src/process/platform/actExecutor.js";
import { ActLedger } from "../../../src/process/platform/actLedger.js";
import type { PlatformCommand } from "../../../src/process/platform/platformCommand.js";
import { defaultPlatformSettings } from "../../../src/process/platform/platformSettings.js";
import { UsageReporter } from "../../../src/process/platform/usageReporter.js";
import type { UsageCommand } from "../../../src/process/usage/usageCommand.js";
import { UsageLedger } from "../../../src/process/usage/usageLedger.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";
import { createUsageRecord } from "../usage/createUsageRecord.js";
import { FakeLog, leadershipPeriodsOf } from "./fakeCluster.js";
import type { LeadershipPeriod } from "./fakeCluster.js";
import { callTimeLimit, FakePlatform, LossyCaller } from "./fakePlatform.js";
import { VirtualClock } from "./virtualClock.js";

const domains = ["hobart-a", "hobart-b", "kingston-c"];
const endpointsPerDomain = 2;
/** How long a process keeps running its tasks after its leadership has ended, in milliseconds. */
const overrunMilliseconds = 400;

/** Simulates successive leaders with one replicated state and one platform. */
class ActRun {
    readonly clock = new VirtualClock();
    readonly platform = new FakePlatform();
    readonly ledger = new ActLedger();
    readonly usage = new UsageLedger();
    readonly unresponsiveDomains: string[] = [];
    private readonly random: RandomSource;
    private readonly log: FakeLog<PlatformCommand | UsageCommand>;

    constructor(seed: number, private readonly lossRate: number) {
        this.random = new RandomSource(seed);
        this.log = new FakeLog(command => this.applyCommand(command), this.clock, this.random, lossRate);
        this.usage.apply({ kind: "setUsageWindow", length: 500, at: 0 });
    }

    async run(periods: readonly LeadershipPeriod[]): Promise<void> {
        const end = (periods.at(-1)?.until ?? 0) + overrunMilliseconds;
        const tasks = [...periods.map(period => this.lead(period)), this.recordUsage(end)];
        await this.clock.runUntil(end + 1_000);
        await Promise.all(tasks);
    }

    private applyCommand(command: PlatformCommand | UsageCommand): unknown {
        return match(command)
            .with({ kind: P.union("intendActs", "answerAct", "observeEndpoint") }, act => this.ledger.apply(act))
            .otherwise(usage => this.usage.apply(usage));
    }

    /** Records usage continuously; every third record is late enough to miss its window. */
    private async recordUsage(end: number): Promise<void> {
        const incarnation = "entry-1/a";
        this.usage.apply({ kind: "beginIncarnation", entry: "entry-1", incarnation, startedAt: 0, at: 0 });
        for (let sequence = 1; this.clock.now() < end; sequence += 1) {
            const finishedAt = Math.max(0, this.clock.now() - (sequence % 3 === 0 ? 700 : 0));
            const records = [createUsageRecord(finishedAt)];
            const command = { kind: "recordUsage", incarnation, firstSequence: sequence, records } as const;
            this.usage.apply({ ...command, at: this.clock.now() });
            await this.clock.sleep(35);
        }
    }

    private async lead(period: LeadershipPeriod): Promise<void> {
        await this.clock.sleep(period.from);
        const lease = this.log.leaseOf(period);
        const process = `control-${period.term}`;
        const caller = new LossyCaller(process, this.platform, lease, this.clock, this.random, this.lossRate);
        this.unresponsiveDomains.forEach(domain => caller.unresponsiveDomains.add(domain));
        const context: PlatformTaskContext = {
            caller,
            addresses: { orderAddressOf: domain => domain, common: "platform" },
            clock: this.clock,
            random: this.random,
            events: new EventLog("test", "hidden"),
            settings: { ...defaultPlatformSettings, firstRetryDelay: 20, maximumRetryDelay: 100 },
        };
        const ended = new AbortController();
        const sink = this.log.sinkOf(period);
        const tasks = [
            new ActExecutor(this.ledger, sink, context).run(ended.signal),
            new UsageReporter(this.usage, sink, context).run(ended.signal),
            this.decide(period, ended.signal),
        ];
        await this.clock.sleep(period.until - period.from + overrunMilliseconds);
        ended.abort();
        await Promise.all(tasks);
    }

    /** Records orders for missing endpoints, again after a failed proposal, and seals usage windows that have ended. */
    private async decide(period: LeadershipPeriod, signal: AbortSignal): Promise<void> {
        let number = 0;
        while (!signal.aborted) {
            const missing = domains.filter(domain => this.expectedIn(domain) === 0);
            if (missing.length > 0) {
                const acts = missing.map(failureDomain => ({
                    actId: `${period.term}-${(number += 1)}`,
                    act: {
                        kind: "startEndpoints",
                        failureDomain,
                        pool: "drafting",
                        engineKind: "h100",
                        cheap: false,
                        count: endpointsPerDomain,
                    } as const,
                }));
                const command = {
                    kind: "intendActs",
                    acts,
                    basedOn: this.ledger.revision,
                    at: this.clock.now(),
                } as const;
                await this.log.sinkOf(period).propose(command, signal);
            }
            const window = this.usage.oldestOpenWindow();
            if (window !== undefined && this.clock.now() >= window.end + 50) {
                const seal = { kind: "sealWindow", window: window.start, at: this.clock.now() } as const;
                await this.log.sinkOf(period).propose(seal, signal);
            }
            await this.clock.sleep(25, signal);
        }
    }

    private expectedIn(domain: string): number {
        const live = this.ledger.fleet.list().filter(endpoint => endpoint.failureDomain === domain);
        const open = this.ledger.openActs().filter(({ act }) =>
            act.kind === "startEndpoints" && act.failureDomain === domain
        );
        return live.length + open.length;
    }
}

describe("ActExecutor and UsageReporter", () => {
    it("carry out each act once and only within the lease when leaders change and responses are lost", async t => {
        const periods = fastCheck.array(fastCheck.integer({ min: 60, max: 900 }), { minLength: 1, maxLength: 5 });
        const property = fastCheck.asyncProperty(periods, fastCheck.nat(), async (lengths, seed) => {
            const run = new ActRun(seed, 0.25);
            const schedule = leadershipPeriodsOf([...lengths, 8_000]);
            await run.run(schedule);
            t.is(run.platform.executed.length, new Set(run.platform.executed.map(order => order.orderId)).size);
            t.is(run.platform.endpointsGranted, domains.length * endpointsPerDomain);
            t.is(run.ledger.fleet.list().length, domains.length * endpointsPerDomain);
            t.is(run.platform.conflicts, 0);
            t.true(run.platform.reports.size >= 10);
            for (const arrival of run.platform.arrivals) {
                const period = schedule.find(({ term }) => term === arrival.fencingNumber);
                t.true(period !== undefined && period.from <= arrival.at && arrival.at <= period.until);
            }
            for (const sealed of run.usage.sealedWindows().filter(window => window.reportedAt !== undefined)) {
                const text = run.platform.reports.get(`/usage-reports/${sealed.start}`) ?? "";
                t.is(createHash("sha256").update(text).digest("hex"), sealed.digest);
            }
        });
        await fastCheck.assert(property, { seed: 8, numRuns: 40 });
    });

    it("do not let an unresponsive failure domain delay the others", async t => {
        const run = new ActRun(1, 0);
        run.unresponsiveDomains.push("hobart-a");
        await run.run(leadershipPeriodsOf([1_000]));
        const served = new Set(run.ledger.fleet.list().map(endpoint => endpoint.failureDomain));
        t.deepEqual([...served].sort(), ["hobart-b", "kingston-c"]);
        t.is(run.ledger.openActs().length, 1);
        const firstTimeout = 50 + callTimeLimit;
        for (const domain of served) {
            t.true((run.platform.arrivals.find(({ path }) => path.includes(domain))?.at ?? Infinity) < firstTimeout);
        }
    });
});
