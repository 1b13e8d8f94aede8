import { z } from "zod";
import type { Clock } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { OperationLog } from "./operationLog.js";
import type { CapacityChange, FailureDomainCapacity } from "./platformOptions.js";
import type { Vm } from "./vm.js";
import type { VmFleet } from "./vmFleet.js";

const startOrderSchema = z.strictObject({
    orderId: z.string().min(1),
    fencingNumber: z.int().min(0),
    kind: z.literal("start"),
    pool: z.string().min(1),
    engineKind: z.string().min(1),
    cheap: z.boolean(),
    count: z.int().positive(),
});

const stopOrderSchema = z.strictObject({
    orderId: z.string().min(1),
    fencingNumber: z.int().min(0),
    kind: z.literal("stop"),
    endpoint: z.string().min(1),
});

/** Schema of the body of `POST /failure-domains/DOMAIN/orders`. */
export const platformOrderSchema = z.discriminatedUnion("kind", [startOrderSchema, stopOrderSchema]);

/** An order to start or stop endpoints. */
export type PlatformOrder = z.output<typeof platformOrderSchema>;

/** The response to an order. */
export interface PlatformOrderResponse {
    readonly orderId: string;
    readonly granted: readonly Pick<Vm, "endpoint" | "address" | "failureDomain" | "cheap" | "pool">[];
    /** Number of requested endpoints that exceed the capacity. */
    readonly unavailable: number;
}

/** Handles the orders of one failure domain; each order id is executed at most once. */
export class OrderHandler {
    private readonly responses = new Map<string, Promise<PlatformOrderResponse>>();
    private startedCount = 0;
    private readonly pendingStarts = { steady: 0, cheap: 0 };

    /** @param capacity The initial capacity. */
    constructor(
        private capacity: FailureDomainCapacity,
        private readonly fleet: VmFleet,
        private readonly operationLog: OperationLog,
        private readonly clock: Clock,
    ) {}

    /** Changes the capacity; running endpoints are not affected. */
    changeCapacity(change: CapacityChange): void {
        this.capacity = { ...this.capacity, ...change };
    }

    /** Handles `POST /failure-domains/DOMAIN/orders`. */
    async post(call: StandInCall): Promise<void> {
        const order = call.parseBody(platformOrderSchema);
        if (order.err) {
            call.respondWithError(400, order.val);
            return;
        }
        const { orderId, fencingNumber } = order.val;
        const previousResponse = this.responses.get(orderId);
        const outcome = previousResponse === undefined ? "acted" : "repeated";
        this.operationLog.add(call, {
            kind: "order",
            id: orderId,
            fencingNumber,
            outcome,
            receivedAt: this.clock.unixNow(),
        });
        const response = previousResponse ?? this.execute(order.val);
        this.responses.set(orderId, response);
        call.respond(200, await response);
    }

    /** Handles `GET /failure-domains/DOMAIN/orders/ID`. */
    async get(call: StandInCall, orderId: string): Promise<void> {
        const response = this.responses.get(orderId);
        if (response === undefined) {
            call.respondWithError(404, "no such order");
            return;
        }
        call.respond(200, await response);
    }

    private async execute(order: PlatformOrder): Promise<PlatformOrderResponse> {
        if (order.kind === "stop") {
            await this.fleet.stop(order.endpoint);
            return { orderId: order.orderId, granted: [], unavailable: 0 };
        }
        const supply = order.cheap ? "cheap" : "steady";
        const count = Math.min(order.count, this.freeCapacity(supply));
        this.pendingStarts[supply] += count;
        const vms = await Promise.all(Array.from({ length: count }, async () => this.startEndpoint(order)));
        this.pendingStarts[supply] -= count;
        return { orderId: order.orderId, granted: vms.map(toGrantedEndpoint), unavailable: order.count - count };
    }

    private async startEndpoint(order: z.output<typeof startOrderSchema>): Promise<Vm> {
        this.startedCount++;
        const { pool, engineKind, cheap } = order;
        const endpoint = `${this.capacity.name}-${pool}-${this.startedCount}`;
        return this.fleet.start({ endpoint, pool, engineKind, cheap, failureDomain: this.capacity.name });
    }

    private freeCapacity(supply: "steady" | "cheap"): number {
        const { name, cheapCapacity, steadyCapacity } = this.capacity;
        const usedVms = this.fleet.current.filter(vm => vm.failureDomain === name && vm.cheap === (supply === "cheap"));
        const totalCapacity = supply === "cheap" ? cheapCapacity : steadyCapacity;
        return Math.max(0, totalCapacity - usedVms.length - this.pendingStarts[supply]);
    }
}

function toGrantedEndpoint(
    { endpoint, address, failureDomain, cheap, pool }: Vm,
): PlatformOrderResponse["granted"][number] {
    return { endpoint, address, failureDomain, cheap, pool };
}
