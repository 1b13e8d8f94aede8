import { match } from "ts-pattern";
import { z } from "zod";
import type { Clock, UnixMilliseconds } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { EngineOptions } from "./engineOptions.js";
import type { EngineState } from "./engineState.js";

const actionSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("loadModel"), model: z.string(), version: z.string() }),
    z.strictObject({ kind: z.literal("loadAdapter"), adapter: z.string() }),
    z.strictObject({ kind: z.literal("setRole"), role: z.enum(["mixed", "prefill", "decode"]) }),
    z.strictObject({ kind: z.literal("drain") }),
]);

/** Schema of the body of `POST /v1/orders`. */
export const engineOrderSchema = z.strictObject({
    orderId: z.string().min(1),
    fencingNumber: z.int().min(0),
    action: actionSchema,
});

/** An order to an engine. */
export type EngineOrder = z.output<typeof engineOrderSchema>;

/** Status of an order. */
export interface EngineOrderStatus {
    readonly orderId: string;
    readonly state: "done" | "running" | "failed";
    readonly reason?: string;
}

/** A received order and its outcome; repeated and rejected orders are included. */
export interface ReceivedEngineOrder extends EngineOrder {
    readonly receivedAt: UnixMilliseconds;
    readonly outcome: "acted" | "repeated" | "refused";
}

/** Receives and executes the orders to an engine; each order id is executed at most once. */
export class EngineOrders {
    private readonly statuses = new Map<string, EngineOrderStatus>();
    private readonly receivedOrders: ReceivedEngineOrder[] = [];
    private newestFencingNumber = 0;

    /** @param onApplied Called after an order has taken effect. */
    constructor(
        private readonly options: EngineOptions,
        private readonly state: EngineState,
        private readonly clock: Clock,
        private readonly stopSignal: AbortSignal,
        private readonly onApplied: () => void,
    ) {}

    /** All received orders in order of arrival. */
    get received(): readonly ReceivedEngineOrder[] {
        return this.receivedOrders;
    }

    /** Handles `POST /v1/orders`. */
    post(call: StandInCall): void {
        const body = call.parseBody(engineOrderSchema);
        if (body.err) {
            call.respondWithError(400, body.val);
            return;
        }
        const order = body.val;
        if (this.options.checksFencing && order.fencingNumber < this.newestFencingNumber) {
            this.recordOrder(order, "refused");
            call.respondIgnoringFaults(409, { newestFencingNumber: this.newestFencingNumber });
            return;
        }
        this.newestFencingNumber = Math.max(this.newestFencingNumber, order.fencingNumber);
        this.accept(order);
        call.respond(200, this.statuses.get(order.orderId));
    }

    /** Handles `GET /v1/orders/ID`. */
    get(call: StandInCall, orderId: string): void {
        const status = this.statuses.get(orderId);
        if (status === undefined) {
            call.respondWithError(404, "no such order");
            return;
        }
        call.respond(200, status);
    }

    private accept(order: EngineOrder): void {
        if (this.statuses.has(order.orderId)) {
            this.recordOrder(order, "repeated");
            return;
        }
        this.recordOrder(order, "acted");
        if (this.options.orderMilliseconds === 0) {
            this.apply(order);
            return;
        }
        this.statuses.set(order.orderId, { orderId: order.orderId, state: "running" });
        void this.applyAfterDelay(order);
    }

    private async applyAfterDelay(order: EngineOrder): Promise<void> {
        await this.clock.sleep(this.options.orderMilliseconds, this.stopSignal);
        if (!this.stopSignal.aborted) {
            this.apply(order);
        }
    }

    private apply(order: EngineOrder): void {
        match(order.action)
            .with({ kind: "loadModel" }, ({ model, version }) => {
                this.state.loadModel(model, version);
            })
            .with({ kind: "loadAdapter" }, ({ adapter }) => {
                this.state.loadAdapter(adapter);
            })
            .with({ kind: "setRole" }, ({ role }) => {
                this.state.role = role;
            })
            .with({ kind: "drain" }, () => {
                this.state.leaving = true;
            })
            .exhaustive();
        this.statuses.set(order.orderId, { orderId: order.orderId, state: "done" });
        this.onApplied();
    }

    private recordOrder(order: EngineOrder, outcome: ReceivedEngineOrder["outcome"]): void {
        this.receivedOrders.push({ ...order, receivedAt: this.clock.unixNow(), outcome });
    }
}
