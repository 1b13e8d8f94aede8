import { LeasedCaller } from "../../../src/process/platform/leasedCaller.js";
import type { CallResponse, LeasedCall } from "../../../src/process/platform/leasedCaller.js";
import type { FencingToken } from "../../../src/process/replicatedLog/commandLog.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { Err, Ok } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** A call that reached the platform. */
export interface Arrival {
    readonly process: string;
    readonly fencingNumber: number;
    readonly at: Milliseconds;
    readonly path: string;
    readonly text: string;
}

interface Order {
    readonly orderId: string;
    readonly kind: string;
    readonly count: number;
    readonly pool: string;
    readonly cheap: boolean;
}

/** A platform that executes each order once and records all calls that reach it. */
export class FakePlatform {
    readonly arrivals: Arrival[] = [];
    /** Executed orders, in order of execution. */
    readonly executed: Order[] = [];
    /** Bodies of accepted usage reports, by path. */
    readonly reports = new Map<string, string>();
    conflicts = 0;
    endpointsGranted = 0;
    private readonly responses = new Map<string, CallResponse>();

    /** Records a call and returns the response. */
    receive(arrival: Arrival): CallResponse {
        this.arrivals.push(arrival);
        return arrival.path.startsWith("/usage-reports/") ? this.handleReport(arrival) : this.handleOrder(arrival);
    }

    private handleReport(arrival: Arrival): CallResponse {
        const known = this.reports.get(arrival.path) ?? arrival.text;
        this.reports.set(arrival.path, known);
        const same = known === arrival.text;
        this.conflicts += same ? 0 : 1;
        return { status: same ? 200 : 409, retryAfter: undefined, body: undefined };
    }

    private handleOrder(arrival: Arrival): CallResponse {
        const order = JSON.parse(arrival.text) as Order;
        const known = this.responses.get(order.orderId);
        if (known !== undefined) {
            return known;
        }
        this.executed.push(order);
        const failureDomain = arrival.path.split("/")[2] ?? "";
        const granted = Array.from({ length: order.count }, () => {
            this.endpointsGranted += 1;
            const name = `e${this.endpointsGranted}`;
            return { endpoint: name, address: "127.0.0.1:1", failureDomain, pool: order.pool, cheap: order.cheap };
        });
        const response = {
            status: 200,
            retryAfter: undefined,
            body: { orderId: order.orderId, granted, unavailable: 0 },
        };
        this.responses.set(order.orderId, response);
        return response;
    }
}

/** Maximum time of a call of {@link LossyCaller} after its write. */
export const callTimeLimit: Milliseconds = 200;

/** Calls a {@link FakePlatform} over a network that loses, duplicates and delays messages. */
export class LossyCaller extends LeasedCaller {
    /** Unresponsive failure domains. */
    readonly unresponsiveDomains = new Set<string>();

    constructor(
        private readonly process: string,
        private readonly platform: FakePlatform,
        private readonly lease: (now: Milliseconds, requiredTime: Milliseconds) => FencingToken | undefined,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly lossRate: number,
    ) {
        super();
    }

    override async call(call: LeasedCall, signal: AbortSignal): Promise<Result<CallResponse, Failure>> {
        await this.clock.sleep(this.random.integer(1, 30), signal);
        const token = this.lease(this.clock.now(), callTimeLimit);
        if (token === undefined) {
            return Err(failure("leaseLost"));
        }
        const { body } = call.content(token);
        const text = Buffer.from(body ?? []).toString("utf8");
        const deliver = (): CallResponse => {
            const { process, clock } = this;
            const { fencingNumber } = token;
            return this.platform.receive({ process, fencingNumber, at: clock.now(), path: call.path, text });
        };
        const isUnresponsive = [...this.unresponsiveDomains].some(domain => call.path.includes(domain));
        if (isUnresponsive || this.random.float() < this.lossRate) {
            await this.clock.sleep(callTimeLimit, signal);
            return Err(failure("callTimedOut", { address: call.address, timeLimit: callTimeLimit }));
        }
        const response = deliver();
        if (this.random.float() < this.lossRate) {
            deliver();
        }
        await this.clock.sleep(this.random.integer(1, callTimeLimit - 1), signal);
        if (signal.aborted || this.random.float() < this.lossRate) {
            return Err(failure("callFailed", { address: call.address, reason: "reset" }));
        }
        return Ok(response);
    }
}
