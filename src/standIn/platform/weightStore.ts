import { z } from "zod";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { ActRecord } from "./actRecord.js";
import type { PlatformOptions } from "./platformOptions.js";

const weightLoadSchema = z.strictObject({
    loadId: z.string().min(1),
    endpoint: z.string().min(1),
    model: z.string().min(1),
    version: z.string().min(1),
});

/** A load of weights and when it is done. */
interface WeightLoad {
    readonly loadId: string;
    readonly doneAt: Milliseconds;
}

/** The weight store; it accepts loads at a bounded rate (token bucket). */
export class WeightStore {
    private readonly loads = new Map<string, WeightLoad>();
    private tokens: number;
    private filledAt: Milliseconds;

    constructor(
        private readonly options: PlatformOptions,
        private readonly record: ActRecord,
        private readonly clock: Clock,
    ) {
        this.tokens = options.weightLoadBurst;
        this.filledAt = clock.now();
    }

    /** Handles `POST /weight-loads`. */
    post(call: StandInCall): void {
        const body = call.json(weightLoadSchema);
        if (body.err) {
            call.refuse(400, body.val);
            return;
        }
        const { loadId } = body.val;
        const now = this.clock.now();
        const outcome = this.loads.has(loadId) ? "repeated" : this.accept(loadId, now);
        const receivedAt = this.clock.unixNow();
        this.record.add(call, { kind: "weightLoad", id: loadId, fencingNumber: undefined, outcome, receivedAt });
        if (outcome === "refused") {
            const wait = (1 - this.tokens) / this.options.weightLoadsPerSecond;
            call.refuse(429, "too many weight loads", { "retry-after": String(Math.ceil(wait)) });
            return;
        }
        this.get(call, loadId);
    }

    /** Handles `GET /weight-loads/ID`. */
    get(call: StandInCall, loadId: string): void {
        const load = this.loads.get(loadId);
        if (load === undefined) {
            call.refuse(404, "no such load");
            return;
        }
        call.answer(200, { loadId, state: load.doneAt <= this.clock.now() ? "done" : "running" });
    }

    private accept(loadId: string, now: Milliseconds): "acted" | "refused" {
        const { weightLoadBurst, weightLoadsPerSecond, weightLoadMilliseconds } = this.options;
        const gained = ((now - this.filledAt) * weightLoadsPerSecond) / 1000;
        this.tokens = Math.min(weightLoadBurst, this.tokens + gained);
        this.filledAt = now;
        if (this.tokens < 1) {
            return "refused";
        }
        this.tokens--;
        this.loads.set(loadId, { loadId, doneAt: now + weightLoadMilliseconds });
        return "acted";
    }
}
