import { EventLog } from "../../../src/logEvent/eventLog.js";
import { CapacityDuty, PoolObserver } from "../../../src/process/capacity/capacityDuty.js";
import { FixedFleetPlanner } from "../../../src/process/capacity/fixedFleetPlanner.js";
import type { PoolMeasurement } from "../../../src/process/capacity/poolViewBuilder.js";
import { ActLedger } from "../../../src/process/platform/actLedger.js";
import type { PlatformCommand } from "../../../src/process/platform/platformCommand.js";
import { Ok } from "../../../src/util/result.js";
import type { Pool } from "../../../src/version/manifest.js";
import { describe, it } from "../../describe.js";

const signal = new AbortController().signal;
const pool: Pool = {
    name: "drafting",
    kind: "model",
    checksFencing: false,
    concurrentRequestsPerEndpoint: 64,
    endpoints: [],
    capacity: {
        minimumReplicas: 0,
        maximumReplicas: 9,
        engineKind: "h100",
        steadyPricePerHour: 40,
        cheapFailureDomains: [],
        failureDomains: ["hobart-a", "hobart-b"],
    },
};

/** Observer of one pool; the test sets whether its endpoints are ready and idle. */
class FixedPoolObserver extends PoolObserver {
    ready = true;
    idle = false;

    override pools(): readonly Pool[] {
        return [pool];
    }

    override measure(): PoolMeasurement {
        return { serviceRate: 100, loadTime: 60_000, demand: [], protectedTiers: 1 };
    }

    override isReady(): boolean {
        return this.ready;
    }

    override isIdle(): boolean {
        return this.idle;
    }
}

/** Runs a new duty for each plan, as after a change of leader, on one ledger. */
class DutyRun {
    readonly ledger = new ActLedger();
    readonly poolObserver = new FixedPoolObserver();
    private time = 1;

    async plan(endpoints: number): Promise<void> {
        const sink = { propose: (command: PlatformCommand) => Promise.resolve(Ok(this.ledger.apply(command))) };
        const planner = new FixedFleetPlanner(endpoints);
        const duty = new CapacityDuty(this.ledger, sink, planner, this.poolObserver, new EventLog("test", "hidden"));
        this.time += 1;
        await duty.runOnce(this.time, this.time, signal);
    }

    /** Answers every open act; grants at most the given number of endpoints of each order. */
    grant(limit: number): void {
        for (const { actId, act } of this.ledger.openActs()) {
            const count = act.kind === "startEndpoints" ? Math.min(limit, act.count) : 0;
            const granted = [...Array(count).keys()].map(index => ({
                endpoint: `${actId}-${index}`,
                address: "127.0.0.1:1",
                failureDomain: act.kind === "startEndpoints" ? act.failureDomain : "",
                pool: "drafting",
                cheap: false,
            }));
            const unavailable = act.kind === "startEndpoints" ? act.count - count : 0;
            this.ledger.apply({
                kind: "answerAct",
                actId,
                answer: { kind: "granted", granted, unavailable },
                at: this.time,
            });
        }
    }

    states(): readonly string[] {
        return this.ledger.fleet.list().map(({ failureDomain, state }) => `${failureDomain} ${state}`).sort();
    }
}

describe("CapacityDuty", () => {
    describe("runOnce", () => {
        it("orders missing endpoints only once, also after a change of leader", async t => {
            const run = new DutyRun();
            await run.plan(2);
            await run.plan(2);
            t.is(run.ledger.openActs().length, 2);
            run.grant(1);
            await run.plan(2);
            t.deepEqual(run.states(), ["hobart-a live", "hobart-b live"]);
            t.is(run.ledger.openActs().length, 0);
        });

        it("stops an endpoint only when it is draining and idle", async t => {
            const run = new DutyRun();
            await run.plan(2);
            run.grant(1);
            await run.plan(1);
            await run.plan(1);
            t.deepEqual([run.states(), run.ledger.openActs().length], [["hobart-a live", "hobart-b draining"], 0]);
            run.poolObserver.idle = true;
            await run.plan(1);
            t.deepEqual(run.ledger.openActs().map(({ act }) => act.kind), ["stopEndpoint"]);
            run.grant(0);
            t.deepEqual(run.states(), ["hobart-a live"]);
        });

        it("orders in other failure domains after an order that a failure domain could not fill", async t => {
            const run = new DutyRun();
            await run.plan(4);
            const [first] = run.ledger.openActs();
            run.ledger.apply({
                kind: "answerAct",
                actId: first?.actId ?? "",
                answer: { kind: "granted", granted: [], unavailable: 2 },
                at: 3,
            });
            await run.plan(4);
            const orderedDomains = run.ledger.openActs().map(({ act }) =>
                act.kind === "startEndpoints" && act.failureDomain
            );
            t.deepEqual(orderedDomains, ["hobart-b", "hobart-b"]);
        });
    });
});
