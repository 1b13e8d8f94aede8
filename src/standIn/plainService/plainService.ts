import type { Clock, UnixMilliseconds } from "../../util/clock.js";
import { LaggedValue } from "../laggedValue.js";
import type { StandInCall } from "../standInCall.js";
import { StandInServer } from "../standInServer.js";
import { ExecutionLog } from "./executionLog.js";
import type { Execution } from "./executionLog.js";
import { plainServiceOptionsSchema } from "./plainServiceOptions.js";
import type { PlainServiceOptions, PlainServiceOptionsInput } from "./plainServiceOptions.js";

/** The body of a plain service's `GET /v1/load`. */
export interface ServiceLoadReport {
    readonly reportedAt: UnixMilliseconds;
    readonly runningRequests: number;
    readonly maximumRunningRequests: number;
    readonly leaving: boolean;
}

/** The response body of a plain service. */
export interface ServiceResponse {
    readonly service: string;
    readonly requestId: string | undefined;
    readonly idempotencyKey: string | undefined;
    /** Number of executions with this request id, including this one. */
    readonly executions: number;
    /** The request body as text. */
    readonly echo: string;
}

/**
 * A stand-in for a plain service (docs/INTERFACES.md, "Plain services"); it accepts any method and path.
 *
 *     await using service = new PlainService({ name: "bookings", serviceMilliseconds: 3 }, new SystemClock());
 *     await service.start();                                  // service.address is "127.0.0.1:PORT"
 *     service.faults.set({ kind: "loseAnswers", times: 1 });  // executes, then closes the connection
 *     service.executions.countByIdempotencyKey("booking-17"); // must be 1
 */
export class PlainService extends StandInServer {
    /** The executions so far. */
    readonly executions = new ExecutionLog();
    private leaving = false;
    private readonly options: PlainServiceOptions;
    private readonly reportedLoad: LaggedValue<ServiceLoadReport>;
    private running = 0;
    private lastResponse: ServiceResponse | undefined;

    constructor(options: PlainServiceOptionsInput, clock: Clock) {
        super(clock);
        this.options = plainServiceOptionsSchema.parse(options);
        this.reportedLoad = new LaggedValue(this.options.reportLagMilliseconds, this.buildReport());
    }

    /** Number of running executions. */
    get runningRequests(): number {
        return this.running;
    }

    /** Marks the service as leaving: it rejects new requests and reports this in its load report. */
    announceLeaving(): void {
        this.leaving = true;
        this.publishLoad();
    }

    override figures(): unknown {
        return {
            executions: this.executions.all.length,
            repeated: this.executions.findRepeated(),
            list: this.executions.all,
        };
    }

    override handleControl(): boolean {
        return false;
    }

    protected override isWork(call: StandInCall): boolean {
        return call.path !== "/v1/load";
    }

    protected override resetAfterCrash(): void {
        this.lastResponse = undefined;
    }

    protected override async handle(call: StandInCall): Promise<void> {
        if (!this.isWork(call)) {
            call.respond(200, this.reportedLoad.read(this.clock.now()), this.leaving ? { "x-leaving": "true" } : {});
        }
        else if (this.leaving) {
            call.respondNotExecuted(503, "leaving", { "x-leaving": "true" });
        }
        else if (this.running >= this.options.maximumRunning) {
            call.respondNotExecuted(503, "too many requests run");
        }
        else {
            await this.execute(call);
        }
    }

    private async execute(call: StandInCall): Promise<void> {
        const execution = this.executions.add({
            requestId: call.header("x-request-id"),
            idempotencyKey: call.header("idempotency-key"),
            method: call.method,
            target: call.url.pathname + call.url.search,
            startedAt: this.clock.unixNow(),
        });
        this.adjustRunning(1);
        const straggleFactor = this.faults.peek("straggle")?.factor ?? 1;
        await this.clock.sleep(this.options.serviceMilliseconds * straggleFactor, this.stopSignal);
        this.adjustRunning(-1);
        this.respond(call, execution);
    }

    private respond(call: StandInCall, execution: Execution): void {
        const ownResponse = this.buildResponse(call, execution);
        const otherResponse = this.lastResponse;
        this.lastResponse = ownResponse;
        const isCrossed = otherResponse !== undefined && this.faults.consume("crossAnswers", call.path) !== undefined;
        const sentResponse = isCrossed ? otherResponse : ownResponse;
        call.respond(
            200,
            sentResponse,
            sentResponse.requestId === undefined ? {} : { "x-request-id": sentResponse.requestId },
        );
    }

    private buildResponse(call: StandInCall, { requestId, idempotencyKey }: Execution): ServiceResponse {
        const executions = requestId === undefined ? 1 : this.executions.countByRequestId(requestId);
        const echo = call.body.toString("utf8");
        return { service: this.options.name, requestId, idempotencyKey, executions, echo };
    }

    private adjustRunning(difference: number): void {
        this.running += difference;
        this.publishLoad();
    }

    private publishLoad(): void {
        this.reportedLoad.write(this.buildReport(), this.clock.now());
    }

    private buildReport(): ServiceLoadReport {
        return {
            reportedAt: this.clock.unixNow(),
            runningRequests: this.running,
            maximumRunningRequests: this.options.maximumRunning,
            leaving: this.leaving,
        };
    }
}
