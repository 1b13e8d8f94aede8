import type { Clock, UnixMilliseconds } from "../../util/clock.js";
import { LaggedValue } from "../laggedValue.js";
import type { StandInCall } from "../standInCall.js";
import { StandInServer } from "../standInServer.js";
import { ExecutionLedger } from "./executionLedger.js";
import type { Execution } from "./executionLedger.js";
import { plainServiceOptionsSchema } from "./plainServiceOptions.js";
import type { PlainServiceOptions, PlainServiceOptionsInput } from "./plainServiceOptions.js";

/** The body of a plain service's `GET /v1/load`. */
export interface ServiceLoadReport {
    readonly reportedAt: UnixMilliseconds;
    readonly runningRequests: number;
    readonly maximumRunningRequests: number;
    readonly leaving: boolean;
}

/** The body of a plain service's answer. */
export interface ServiceAnswer {
    readonly service: string;
    readonly requestId: string | undefined;
    readonly idempotencyKey: string | undefined;
    /** How often requests with this id were executed, this one included. */
    readonly executions: number;
    /** The body of the request, as text. */
    readonly echo: string;
}

/**
 * A stand-in for a plain service (docs/INTERFACES.md, "Plain services"); it answers any method and path.
 *
 *     await using service = new PlainService({ name: "bookings", serviceMilliseconds: 3 }, new SystemClock());
 *     await service.start();                                  // service.address is "127.0.0.1:PORT"
 *     service.faults.set({ kind: "loseAnswers", times: 1 });  // executes, then drops the connection
 *     service.executions.countOfKey("booking-17");            // must be 1
 */
export class PlainService extends StandInServer {
    /** Every execution. */
    readonly executions = new ExecutionLedger();
    private leaving = false;
    private readonly options: PlainServiceOptions;
    private readonly load: LaggedValue<ServiceLoadReport>;
    private running = 0;
    private lastAnswer: ServiceAnswer | undefined;

    constructor(options: PlainServiceOptionsInput, clock: Clock) {
        super(clock);
        this.options = plainServiceOptionsSchema.parse(options);
        this.load = new LaggedValue(this.options.reportLagMilliseconds, this.takeReport());
    }

    /** Executions that run. */
    get runningRequests(): number {
        return this.running;
    }

    /** Says from now on that the service takes nothing more. */
    announceLeaving(): void {
        this.leaving = true;
        this.noteLoad();
    }

    override figures(): unknown {
        return {
            executions: this.executions.all.length,
            repeated: this.executions.repeated(),
            list: this.executions.all,
        };
    }

    override control(): boolean {
        return false;
    }

    protected override isWork(call: StandInCall): boolean {
        return call.path !== "/v1/load";
    }

    protected override forget(): void {
        this.lastAnswer = undefined;
    }

    protected override async handle(call: StandInCall): Promise<void> {
        if (!this.isWork(call)) {
            call.answer(200, this.load.read(this.clock.now()), this.leaving ? { "x-leaving": "true" } : {});
        }
        else if (this.leaving) {
            call.refuseNotRun(503, "leaving", { "x-leaving": "true" });
        }
        else if (this.running >= this.options.maximumRunning) {
            call.refuseNotRun(503, "too many requests run");
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
        this.changeRunning(1);
        const slowness = this.faults.peek("straggle")?.factor ?? 1;
        await this.clock.sleep(this.options.serviceMilliseconds * slowness, this.ended);
        this.changeRunning(-1);
        this.answer(call, execution);
    }

    private answer(call: StandInCall, execution: Execution): void {
        const own = this.ownAnswer(call, execution);
        const other = this.lastAnswer;
        this.lastAnswer = own;
        const crossed = other !== undefined && this.faults.strike("crossAnswers", call.path) !== undefined;
        const sent = crossed ? other : own;
        call.answer(200, sent, sent.requestId === undefined ? {} : { "x-request-id": sent.requestId });
    }

    private ownAnswer(call: StandInCall, { requestId, idempotencyKey }: Execution): ServiceAnswer {
        const executions = requestId === undefined ? 1 : this.executions.countOfRequest(requestId);
        const echo = call.body.toString("utf8");
        return { service: this.options.name, requestId, idempotencyKey, executions, echo };
    }

    private changeRunning(difference: number): void {
        this.running += difference;
        this.noteLoad();
    }

    private noteLoad(): void {
        this.load.write(this.takeReport(), this.clock.now());
    }

    private takeReport(): ServiceLoadReport {
        return {
            reportedAt: this.clock.unixNow(),
            runningRequests: this.running,
            maximumRunningRequests: this.options.maximumRunning,
            leaving: this.leaving,
        };
    }
}
