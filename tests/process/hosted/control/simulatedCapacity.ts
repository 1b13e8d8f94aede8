import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { OrderDuty } from "../../../../src/process/hosted/control/orderDuty.js";
import type { EndpointRecord } from "../../../../src/process/hosted/endpointRecord.js";
import { LeasedCaller } from "../../../../src/process/platform/leasedCaller.js";
import type { CallResponse, LeasedCall } from "../../../../src/process/platform/leasedCaller.js";
import type { Failure } from "../../../../src/resultCode/resultCode.js";
import type { Milliseconds } from "../../../../src/util/clock.js";
import { Ok } from "../../../../src/util/result.js";
import type { Result } from "../../../../src/util/result.js";
import { VirtualClock } from "../../platform/virtualClock.js";
import { createEndpointRecord } from "../entry/testEndpoints.js";

const startupTime: Milliseconds = 4_000;

/** Time after which the platform's list shows a change. */
const listDelay: Milliseconds = 800;

const maximum = 60;

interface Endpoint {
    readonly domain: string;
    readonly isSpot: boolean;
    readonly servesFrom: Milliseconds;
}

/**
 * A platform that starts and stops endpoints as it is ordered, and the duty that orders them, in virtual time.
 *
 * The tests set the load, take the spot endpoints of a failure domain away, and refuse orders for further ones.
 */
export class SimulatedCapacity extends LeasedCaller {
    readonly clock = new VirtualClock();
    /** Engine time used by calls, in milliseconds per second. */
    engineTime = 0;
    /** Whether orders for further spot endpoints are refused. */
    isSpotUnavailable = false;
    private endpoints: readonly Endpoint[];
    private readonly ended = new AbortController();

    /** @param initial Number of steady endpoints in each failure domain at the start. */
    constructor(domains: readonly string[], initial: number) {
        super();
        this.endpoints = domains.flatMap(domain =>
            Array.from(Array(initial).keys(), () => ({ domain, isSpot: false, servesFrom: 0 }))
        );
        const service = {
            name: "engines",
            connectionLimit: 100,
            engine: undefined,
            scaling: {
                minimum: 1,
                maximum,
                startupTime,
                prices: Object.fromEntries(domains.map(domain => [domain, 1])),
                spotPriceFraction: 0.2,
            },
        };
        const duty = new OrderDuty({
            holder: "vm-1",
            platformAddress: "10.0.0.9:80",
            services: () => [service],
            endpoints: () => this.listed(),
            engineTimeOf: () => this.engineTime,
            caller: this,
            clock: this.clock,
            eventLog: new EventLog("vm-1", "hidden"),
        });
        void duty.run(this.ended.signal);
    }

    /** Number of endpoints that serve, of all kinds or only the steady ones. */
    serving(onlySteady = false): number {
        return this.endpoints.filter(({ isSpot, servesFrom }) =>
            servesFrom <= this.clock.now() && !(onlySteady && isSpot)
        ).length;
    }

    /** Takes all spot endpoints of a failure domain away. */
    reclaim(domain: string): void {
        this.endpoints = this.endpoints.filter(endpoint => endpoint.domain !== domain || !endpoint.isSpot);
    }

    /** Runs until the given time; returns the smallest number of serving endpoints from a time on. */
    async runUntil(end: Milliseconds, countFrom: Milliseconds = end): Promise<number> {
        let fewest = Infinity;
        while (this.clock.now() < end) {
            await this.clock.runUntil(this.clock.now() + 100);
            fewest = this.clock.now() >= countFrom ? Math.min(fewest, this.serving()) : fewest;
        }
        return fewest;
    }

    override call(call: LeasedCall): Promise<Result<CallResponse, Failure>> {
        const body = Buffer.from(call.content({ fencingNumber: 2 }).body ?? []).toString("utf8");
        const order = JSON.parse(body) as { zone: string; spot?: boolean; "desired-count": number; };
        const isSpot = order.spot === true;
        const present = this.endpoints.filter(each => each.domain === order.zone && each.isSpot === isSpot);
        const others = this.endpoints.filter(each => !present.includes(each));
        const occupied = others.filter(each => each.domain === order.zone).length;
        const wanted = Math.min(order["desired-count"], maximum - occupied);
        const isRefused = isSpot && this.isSpotUnavailable && wanted > present.length;
        if (!isRefused) {
            const added = Array.from(Array(Math.max(0, wanted - present.length)).keys(), () => {
                return { domain: order.zone, isSpot, servesFrom: this.clock.now() + startupTime };
            });
            this.endpoints = [...others, ...present.slice(0, wanted), ...added];
        }
        return Promise.resolve(Ok({ status: isRefused ? 409 : 200, retryAfter: undefined, body: undefined }));
    }

    [Symbol.dispose](): void {
        this.ended.abort();
    }

    private listed(): readonly EndpointRecord[] {
        const now = this.clock.now();
        return this.endpoints.flatMap(({ domain, isSpot, servesFrom }, index) =>
            servesFrom + listDelay <= now || servesFrom === 0
                ? [createEndpointRecord(`e${index}`, { failureDomain: domain, isSpot })]
                : []
        );
    }
}
