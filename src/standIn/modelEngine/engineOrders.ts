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

/** What became of an order. */
export interface EngineOrderAnswer {
    readonly orderId: string;
    readonly state: "done" | "running" | "failed";
    readonly reason?: string;
}

/** An order as it arrived, also one that was refused or a repeat. */
export interface ReceivedEngineOrder extends EngineOrder {
    readonly receivedAt: UnixMilliseconds;
    readonly outcome: "acted" | "repeated" | "refused";
}

/** The orders that an engine received; each acts once. */
export class EngineOrders {
    private readonly answers = new Map<string, EngineOrderAnswer>();
    private readonly history: ReceivedEngineOrder[] = [];
    private newestFencingNumber = 0;

    /** @param acted Called after an order took effect. */
    constructor(
        private readonly options: EngineOptions,
        private readonly state: EngineState,
        private readonly clock: Clock,
        private readonly ended: AbortSignal,
        private readonly acted: () => void,
    ) {}

    /** Every order in order of arrival. */
    get received(): readonly ReceivedEngineOrder[] {
        return this.history;
    }

    /** Handles `POST /v1/orders`. */
    post(call: StandInCall): void {
        const body = call.json(engineOrderSchema);
        if (body.err) {
            call.refuse(400, body.val);
            return;
        }
        const order = body.val;
        if (this.options.checksFencing && order.fencingNumber < this.newestFencingNumber) {
            this.note(order, "refused");
            call.answerAlways(409, { newestFencingNumber: this.newestFencingNumber });
            return;
        }
        this.newestFencingNumber = Math.max(this.newestFencingNumber, order.fencingNumber);
        this.accept(order);
        call.answer(200, this.answers.get(order.orderId));
    }

    /** Handles `GET /v1/orders/ID`. */
    get(call: StandInCall, orderId: string): void {
        const answer = this.answers.get(orderId);
        if (answer === undefined) {
            call.refuse(404, "no such order");
            return;
        }
        call.answer(200, answer);
    }

    private accept(order: EngineOrder): void {
        if (this.answers.has(order.orderId)) {
            this.note(order, "repeated");
            return;
        }
        this.note(order, "acted");
        if (this.options.orderMilliseconds === 0) {
            this.act(order);
            return;
        }
        this.answers.set(order.orderId, { orderId: order.orderId, state: "running" });
        void this.actLater(order);
    }

    private async actLater(order: EngineOrder): Promise<void> {
        await this.clock.sleep(this.options.orderMilliseconds, this.ended);
        if (!this.ended.aborted) {
            this.act(order);
        }
    }

    private act(order: EngineOrder): void {
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
        this.answers.set(order.orderId, { orderId: order.orderId, state: "done" });
        this.acted();
    }

    private note(order: EngineOrder, outcome: ReceivedEngineOrder["outcome"]): void {
        this.history.push({ ...order, receivedAt: this.clock.unixNow(), outcome });
    }
}
