import { z } from "zod";
import type { Clock } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { ActRecord } from "./actRecord.js";
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

/** The answer to an order. */
export interface PlatformOrderAnswer {
    readonly orderId: string;
    readonly granted: readonly Pick<Vm, "endpoint" | "address" | "failureDomain" | "cheap" | "pool">[];
    /** How many of the endpoints asked for cannot be had. */
    readonly unavailable: number;
}

/** Takes the orders of one failure domain; each acts once. */
export class OrderDesk {
    private readonly answers = new Map<string, Promise<PlatformOrderAnswer>>();
    private started = 0;
    private readonly starting = { steady: 0, cheap: 0 };

    /** @param capacity What is on offer at first. */
    constructor(
        private capacity: FailureDomainCapacity,
        private readonly fleet: VmFleet,
        private readonly record: ActRecord,
        private readonly clock: Clock,
    ) {}

    /** Changes what is on offer from now on. */
    offer(change: CapacityChange): void {
        this.capacity = { ...this.capacity, ...change };
    }

    /** Handles `POST /failure-domains/DOMAIN/orders`. */
    async post(call: StandInCall): Promise<void> {
        const order = call.json(platformOrderSchema);
        if (order.err) {
            call.refuse(400, order.val);
            return;
        }
        const { orderId, fencingNumber } = order.val;
        const known = this.answers.get(orderId);
        const outcome = known === undefined ? "acted" : "repeated";
        this.record.add(call, { kind: "order", id: orderId, fencingNumber, outcome, receivedAt: this.clock.unixNow() });
        const answer = known ?? this.act(order.val);
        this.answers.set(orderId, answer);
        call.answer(200, await answer);
    }

    /** Handles `GET /failure-domains/DOMAIN/orders/ID`. */
    async get(call: StandInCall, orderId: string): Promise<void> {
        const answer = this.answers.get(orderId);
        if (answer === undefined) {
            call.refuse(404, "no such order");
            return;
        }
        call.answer(200, await answer);
    }

    private async act(order: PlatformOrder): Promise<PlatformOrderAnswer> {
        if (order.kind === "stop") {
            await this.fleet.stop(order.endpoint);
            return { orderId: order.orderId, granted: [], unavailable: 0 };
        }
        const supply = order.cheap ? "cheap" : "steady";
        const count = Math.min(order.count, this.free(supply));
        this.starting[supply] += count;
        const vms = await Promise.all(Array.from({ length: count }, async () => this.start(order)));
        this.starting[supply] -= count;
        return { orderId: order.orderId, granted: vms.map(grantOf), unavailable: order.count - count };
    }

    private async start(order: z.output<typeof startOrderSchema>): Promise<Vm> {
        this.started++;
        const { pool, engineKind, cheap } = order;
        const endpoint = `${this.capacity.name}-${pool}-${this.started}`;
        return this.fleet.start({ endpoint, pool, engineKind, cheap, failureDomain: this.capacity.name });
    }

    private free(supply: "steady" | "cheap"): number {
        const { name, cheapCapacity, steadyCapacity } = this.capacity;
        const used = this.fleet.current.filter(vm => vm.failureDomain === name && vm.cheap === (supply === "cheap"));
        const offered = supply === "cheap" ? cheapCapacity : steadyCapacity;
        return Math.max(0, offered - used.length - this.starting[supply]);
    }
}

function grantOf({ endpoint, address, failureDomain, cheap, pool }: Vm): PlatformOrderAnswer["granted"][number] {
    return { endpoint, address, failureDomain, cheap, pool };
}
