import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { OrderDuty } from "../../../../src/process/hosted/control/orderDuty.js";
import type { EndpointRecord } from "../../../../src/process/hosted/endpointRecord.js";
import { LeasedCaller } from "../../../../src/process/platform/leasedCaller.js";
import type { CallResponse, LeasedCall } from "../../../../src/process/platform/leasedCaller.js";
import type { Failure } from "../../../../src/resultCode/resultCode.js";
import { Clock } from "../../../../src/util/clock.js";
import { Ok } from "../../../../src/util/result.js";
import type { Result } from "../../../../src/util/result.js";
import { describe, it } from "../../../describe.js";
import { createEndpointRecord } from "../entry/testEndpoints.js";

interface Order {
    readonly zone: string;
    readonly spot?: boolean;
    readonly "desired-count": number;
}

/** Records orders and accepts them as the platform does, or refuses all orders for spot endpoints. */
class RecordingCaller extends LeasedCaller {
    readonly orders: Order[] = [];
    refusesSpot = false;

    override async call(call: LeasedCall): Promise<Result<CallResponse, Failure>> {
        const body = Buffer.from(call.content({ fencingNumber: 2 }).body ?? []).toString("utf8");
        const order = JSON.parse(body) as Order;
        this.orders.push(order);
        const status = this.refusesSpot && order.spot === true ? 409 : 200;
        return Promise.resolve(Ok({ status, retryAfter: undefined, body: undefined }));
    }
}

/** A clock that stops the duty after a number of plans. */
class CountingClock extends Clock {
    private time = 0;

    constructor(private plans: number, private readonly end: () => void, private readonly onPlan: () => void) {
        super();
    }

    override now(): number {
        return this.time;
    }

    override unixNow(): number {
        return this.time;
    }

    override async sleep(duration: number): Promise<void> {
        this.time += duration;
        this.onPlan();
        this.plans--;
        if (this.plans === 0) {
            this.end();
        }
        await Promise.resolve();
    }
}

const service = {
    name: "engines",
    connectionLimit: 100,
    engine: undefined,
    scaling: { minimum: 1, maximum: 8, startupTime: 4_000, prices: { north: 1 }, spotPriceFraction: 0.2 },
};

/**
 * Runs the duty on a platform that carries out each order before the next plan.
 *
 * @param changing Further listed endpoints of which a different part is shown at each reading of the list.
 */
async function runPlans(
    caller: RecordingCaller,
    plans: number,
    engineTime: number,
    changing: readonly EndpointRecord[] = [],
): Promise<void> {
    const ended = new AbortController();
    let listReads = 0;
    let endpoints: readonly EndpointRecord[] = ["a", "b", "c"].map(id => createEndpointRecord(id));
    const clock = new CountingClock(plans, () => {
        ended.abort();
    }, () => {
        const counts = new Map(caller.orders.map(order => [order.spot === true, order["desired-count"]]));
        const steady = counts.get(false) ?? 3;
        const spot = caller.refusesSpot ? 0 : counts.get(true) ?? 0;
        endpoints = [
            ...Array.from(Array(steady).keys(), index => createEndpointRecord(`s${index}`)),
            ...Array.from(Array(spot).keys(), index => createEndpointRecord(`p${index}`, { isSpot: true })),
        ];
    });
    const duty = new OrderDuty({
        holder: "vm-1",
        platformAddress: "10.0.0.9:80",
        services: () => [service],
        endpoints: () => {
            listReads++;
            return [...endpoints, ...changing.slice(listReads % (changing.length + 1))];
        },
        engineTimeOf: () => engineTime,
        caller,
        clock,
        eventLog: new EventLog("vm-1", "hidden"),
    });
    await duty.run(ended.signal);
}

describe("OrderDuty", () => {
    it("replaces steady endpoints with spot ones, and stops ordering once the plan is carried out", async t => {
        const caller = new RecordingCaller();
        await runPlans(caller, 20, 0);
        const last = new Map(caller.orders.map(order => [order.spot === true, order["desired-count"]]));
        t.is(last.get(true), 2);
        t.is(last.get(false), 1);
        t.true(caller.orders.length <= 4);
    });

    it("sends no order before the platform's list has been unchanged for a while", async t => {
        const caller = new RecordingCaller();
        await runPlans(caller, 2, 0);
        t.is(caller.orders.length, 0);
    });

    it("stops waiting for a list that keeps changing, as it does during a reclaim", async t => {
        const caller = new RecordingCaller();
        await runPlans(
            caller,
            8,
            4_000,
            ["x", "y", "z", "v"].map(id => createEndpointRecord(id, { failureDomain: "south" })),
        );
        t.true(caller.orders.length > 0);
    });

    it("falls back to steady endpoints if spot ones are unavailable", async t => {
        const caller = new RecordingCaller();
        caller.refusesSpot = true;
        await runPlans(caller, 60, 4_000);
        const steady = caller.orders.filter(order => order.spot !== true).map(order => order["desired-count"]);
        t.is(Math.max(...steady), 7);
    });
});
