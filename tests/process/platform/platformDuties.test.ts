import { EventLog } from "../../../src/logEvent/eventLog.js";
import { planFor } from "../../../src/process/capacity/allocation.js";
import { CapacityDuty, PoolObserver } from "../../../src/process/capacity/capacityDuty.js";
import { CapacityPlanner } from "../../../src/process/capacity/capacityPlanner.js";
import type { PoolPlan, PoolView } from "../../../src/process/capacity/capacityPlanner.js";
import { FixedFleetPlanner } from "../../../src/process/capacity/fixedFleetPlanner.js";
import type { PoolMeasurement } from "../../../src/process/capacity/poolViewBuilder.js";
import { ActExecutor } from "../../../src/process/platform/actExecutor.js";
import type { PlatformTaskContext } from "../../../src/process/platform/actExecutor.js";
import { ActLedger } from "../../../src/process/platform/actLedger.js";
import { HttpLeasedCaller } from "../../../src/process/platform/httpLeasedCaller.js";
import type { OrderedEndpoint } from "../../../src/process/platform/orderedFleet.js";
import type { PlatformCommand } from "../../../src/process/platform/platformCommand.js";
import { platformTasks, runWhileLeading } from "../../../src/process/platform/platformDuties.js";
import type { PlatformDuties, TermTask } from "../../../src/process/platform/platformDuties.js";
import { defaultPlatformSettings } from "../../../src/process/platform/platformSettings.js";
import { UsageReporter } from "../../../src/process/platform/usageReporter.js";
import { EndpointDirectory, VmWatcher } from "../../../src/process/platform/vmWatcher.js";
import type { UsageCommand } from "../../../src/process/usage/usageCommand.js";
import { UsageLedger } from "../../../src/process/usage/usageLedger.js";
import { EngineStarter } from "../../../src/standIn/platform/engineStarter.js";
import { Platform } from "../../../src/standIn/platform/platform.js";
import { SystemClock } from "../../../src/util/clock.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { Ok } from "../../../src/util/result.js";
import type { Pool } from "../../../src/version/manifest.js";
import { describe, it } from "../../describe.js";

const clock = new SystemClock();
const events = new EventLog("test", "hidden");
const failureDomains = ["hobart-a", "hobart-b"];
const pool: Pool = {
    name: "drafting",
    kind: "model",
    checksFencing: false,
    concurrentRequestsPerEndpoint: 64,
    endpoints: [],
    capacity: {
        minimumReplicas: 0,
        maximumReplicas: 9,
        engineKind: "small",
        steadyPricePerHour: 40,
        cheapPricePerHour: 14,
        cheapFailureDomains: failureDomains,
        failureDomains,
    },
};

/** Treats all endpoints as ready and none as idle; the manifest lists none. */
class AlwaysReadyPoolObserver extends PoolObserver {
    override pools(): readonly Pool[] {
        return [pool];
    }

    override measure(): PoolMeasurement {
        return { serviceRate: 100, loadTime: 1_000, demand: [100, 100], protectedTiers: 1 };
    }

    override isReady(): boolean {
        return true;
    }

    override isIdle(): boolean {
        return false;
    }
}

/** Plans four endpoints, cheap ones wherever they are offered. */
class CheapFleetPlanner extends CapacityPlanner {
    override plan(view: PoolView): PoolPlan {
        return planFor({ endpoints: 4, protectedEndpoints: 0 }, view, []);
    }
}

class EmptyEndpointDirectory extends EndpointDirectory {
    override configured(): ReadonlySet<string> {
        return new Set();
    }

    override reachedSince(): ReadonlySet<string> {
        return new Set();
    }
}

/** Simulates successive leaders, without a gap, over one replicated state. */
class DutiesRun {
    readonly ledger = new ActLedger();
    readonly usage = new UsageLedger();
    readonly watchers: VmWatcher[] = [];
    term = 1;

    constructor(private readonly platform: Platform, private readonly planner: CapacityPlanner) {}

    run(signal: AbortSignal): Promise<void> {
        const tasksOf = (term: number): readonly TermTask[] => platformTasks(this.dutiesOf(term), term, clock);
        return runWhileLeading({ leadingTerm: () => this.term }, clock, tasksOf, signal);
    }

    private dutiesOf(term: number): PlatformDuties {
        const lease = (): { fencingNumber: number; } | undefined =>
            term === this.term ? { fencingNumber: term } : undefined;
        const { address } = this.platform;
        const context: PlatformTaskContext = {
            caller: new HttpLeasedCaller({ lease: lease }, clock, 2_000, 100),
            addresses: { orderAddressOf: () => address, common: address },
            clock,
            random: new RandomSource(term),
            events,
            settings: { ...defaultPlatformSettings, pollInterval: 20, checkInterval: 5 },
        };
        const actLog = { propose: (command: PlatformCommand) => Promise.resolve(Ok(this.ledger.apply(command))) };
        const usageLog = { propose: (command: UsageCommand) => Promise.resolve(Ok(this.usage.apply(command))) };
        const watcher = new VmWatcher(this.ledger, actLog, new EmptyEndpointDirectory(), context);
        this.watchers.push(watcher);
        return {
            executor: new ActExecutor(this.ledger, actLog, context),
            reporter: new UsageReporter(this.usage, usageLog, context),
            watcher,
            capacity: new CapacityDuty(this.ledger, actLog, this.planner, new AlwaysReadyPoolObserver(), events),
        };
    }
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await clock.sleep(5);
    }
}

describe("runWhileLeading", () => {
    it("orders endpoints, loads weights, reports usage and detects unordered VMs across leader changes", async t => {
        const domains = failureDomains.map(name => ({ name, steadyCapacity: 4, cheapCapacity: 4 }));
        const unorderedVm = {
            endpoint: "stranger",
            address: "127.0.0.1:9",
            failureDomain: "hobart-a",
            pool: "drafting",
        };
        await using platform = new Platform(
            {
                failureDomains: domains,
                vms: [{ ...unorderedVm, cheap: true, state: "live" }],
                listLagMilliseconds: 0,
                weightLoadsPerSecond: 20,
                weightLoadBurst: 1,
            },
            clock,
            new EngineStarter(clock),
        );
        await platform.start();
        const run = new DutiesRun(platform, new FixedFleetPlanner(4));
        run.usage.apply({ kind: "setUsageWindow", length: 1_000, at: 0 });
        run.usage.apply({ kind: "sealWindow", window: 0, at: 1_000 });
        const stop = new AbortController();
        const running = run.run(stop.signal);
        await until(() => run.ledger.fleet.list().length === 4 && run.usage.nextUnreported() === undefined);
        const endpoints = run.ledger.fleet.list().map(({ endpoint }) => endpoint);
        const loads = endpoints.slice(0, 3).map((endpoint, urgency) => ({
            actId: `load-${urgency}`,
            act: { kind: "loadWeights", endpoint, model: "m", version: "2", urgency } as const,
        }));
        run.ledger.apply({ kind: "intendActs", acts: loads, basedOn: run.ledger.revision, at: clock.unixNow() });
        run.term = 2;
        await until(() => loads.every(({ actId }) => run.ledger.find(actId)?.answer !== undefined));
        await until(() => run.watchers.some(({ notOrdered }) => notOrdered.length > 0));
        stop.abort();
        await running;
        t.deepEqual(platform.acts.findOutdated(), []);
        t.deepEqual(loads.map(({ actId }) => run.ledger.find(actId)?.answer?.kind), ["done", "done", "done"]);
        t.is(run.usage.sealedWindows()[0]?.bytes, undefined);
        t.is(platform.fleet.stops.length, 0);
        t.is(run.ledger.fleet.list().length, 4);
        t.true(run.watchers.every(({ notOrdered }) => notOrdered.every(({ endpoint }) => endpoint === "stranger")));
    });

    it("replaces the cheap endpoints with steady ones when all failure domains are reclaimed", async t => {
        const domains = failureDomains.map(name => ({ name, steadyCapacity: 4, cheapCapacity: 4 }));
        const options = { failureDomains: domains, listLagMilliseconds: 0 };
        await using platform = new Platform(options, clock, new EngineStarter(clock));
        await platform.start();
        const run = new DutiesRun(platform, new CheapFleetPlanner());
        const stop = new AbortController();
        const running = run.run(stop.signal);
        const usable = (): readonly OrderedEndpoint[] =>
            run.ledger.fleet.list().filter(({ state }) => state === "live" || state === "starting");
        await until(() => usable().length === 4);
        const reclaimed = new Set(usable().map(({ endpoint }) => endpoint));
        const reclaims = failureDomains.map(failureDomain => {
            platform.changeCapacity(failureDomain, { cheapCapacity: 0 });
            return platform.fleet.reclaim(failureDomain, 2_000);
        });
        await until(() => usable().length === 4 && usable().every(({ endpoint }) => !reclaimed.has(endpoint)));
        await Promise.all(reclaims);
        stop.abort();
        await running;
        t.true(usable().every(({ cheap }) => !cheap));
        t.deepEqual(platform.acts.findOutdated(), []);
    });
});
