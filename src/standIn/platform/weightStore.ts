import { z } from "zod";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { OperationLog } from "./operationLog.js";
import type { PlatformOptions } from "./platformOptions.js";

const weightLoadSchema = z.strictObject({
    loadId: z.string().min(1),
    endpoint: z.string().min(1),
    model: z.string().min(1),
    version: z.string().min(1),
});

/** A weight load and the time at which it completes. */
interface WeightLoad {
    readonly loadId: string;
    readonly doneAt: Milliseconds;
}

/** The weight store; a token bucket limits the rate of accepted loads. */
export class WeightStore {
    private readonly loads = new Map<string, WeightLoad>();
    private tokens: number;
    private refilledAt: Milliseconds;

    constructor(
        private readonly options: PlatformOptions,
        private readonly operationLog: OperationLog,
        private readonly clock: Clock,
    ) {
        this.tokens = options.weightLoadBurst;
        this.refilledAt = clock.now();
    }

    /** Handles `POST /weight-loads`. */
    post(call: StandInCall): void {
        const body = call.parseBody(weightLoadSchema);
        if (body.err) {
            call.respondWithError(400, body.val);
            return;
        }
        const { loadId } = body.val;
        const now = this.clock.now();
        const outcome = this.loads.has(loadId) ? "repeated" : this.accept(loadId, now);
        const receivedAt = this.clock.unixNow();
        this.operationLog.add(call, { kind: "weightLoad", id: loadId, fencingNumber: undefined, outcome, receivedAt });
        if (outcome === "refused") {
            const waitSeconds = (1 - this.tokens) / this.options.weightLoadsPerSecond;
            call.respondWithError(429, "too many weight loads", { "retry-after": String(Math.ceil(waitSeconds)) });
            return;
        }
        this.get(call, loadId);
    }

    /** Handles `GET /weight-loads/ID`. */
    get(call: StandInCall, loadId: string): void {
        const load = this.loads.get(loadId);
        if (load === undefined) {
            call.respondWithError(404, "no such load");
            return;
        }
        call.respond(200, { loadId, state: load.doneAt <= this.clock.now() ? "done" : "running" });
    }

    private accept(loadId: string, now: Milliseconds): "acted" | "refused" {
        const { weightLoadBurst, weightLoadsPerSecond, weightLoadMilliseconds } = this.options;
        const refill = ((now - this.refilledAt) * weightLoadsPerSecond) / 1000;
        this.tokens = Math.min(weightLoadBurst, this.tokens + refill);
        this.refilledAt = now;
        if (this.tokens < 1) {
            return "refused";
        }
        this.tokens--;
        this.loads.set(loadId, { loadId, doneAt: now + weightLoadMilliseconds });
        return "acted";
    }
}
