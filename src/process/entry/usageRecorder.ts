import type { UnixMilliseconds } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import type { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { calculateCharge } from "../usage/charge.js";
import type { Consumption } from "../usage/charge.js";
import type { UsageCommandOutcome, UsageRecord } from "../usage/usageCommand.js";

/** Maximum number of usage records in one message. */
const maximumRecordsPerMessage = 500;

/** Resource usage of a finished request and the team that is billed for it. */
export interface FinishedRequest extends Consumption {
    /** Empty on a route without authentication. */
    readonly team: string;
    readonly requestClass: string;
    /** Time that endpoints spent on the request, in milliseconds. */
    readonly endpointTime: number;
    readonly finishedAt: UnixMilliseconds;
}

/** A batch of consecutive records that control has not confirmed yet. */
export interface UsageDelivery {
    readonly incarnation: string;
    readonly firstSequence: number;
    readonly records: readonly UsageRecord[];
}

/**
 * Aggregates the usage of finished requests and delivers it to control, which counts each record exactly once.
 *
 * While a delivery is unconfirmed, further requests are aggregated by team, class and outcome, so that memory use is
 * bounded by the number of these combinations and does not grow while control is unreachable.
 */
export class UsageRecorder {
    /** Notified when a request has been recorded. */
    readonly recorded = new ConditionVariable();
    private readonly pendingSums = new Map<string, UsageRecord>();
    private unconfirmed: readonly UsageRecord[] = [];
    private firstSequence = 1;
    private nextIncarnation: string;

    /** @param incarnation Name of the incarnation; sequence numbers of records are consecutive within it. */
    constructor(private incarnation: string) {
        this.nextIncarnation = incarnation;
    }

    /** Switches to another incarnation as soon as the delivery in progress has been confirmed. */
    switchIncarnation(incarnation: string): void {
        this.nextIncarnation = incarnation;
    }

    /** Adds a finished request, charged at the prices of the given configuration. */
    record(request: FinishedRequest, configuration: CompiledConfiguration): void {
        const charge = calculateCharge(
            request,
            configuration.priceOf(request.requestClass),
            configuration.cutPerMillion,
        );
        const key = JSON.stringify([request.team, request.requestClass, request.outcome]);
        this.pendingSums.set(key, addRequest(this.pendingSums.get(key), request, charge));
        this.recorded.notifyAll();
    }

    /**
     * Returns the records to deliver now: the unconfirmed ones again, or else those aggregated since.
     *
     * Returns undefined if there are none.
     */
    nextDelivery(): UsageDelivery | undefined {
        if (this.unconfirmed.length === 0) {
            this.takePendingSums();
        }
        if (this.unconfirmed.length === 0) {
            return undefined;
        }
        return { incarnation: this.incarnation, firstSequence: this.firstSequence, records: this.unconfirmed };
    }

    /**
     * Handles the outcome of the delivery in progress; ignored if that belongs to another incarnation.
     *
     * @returns False if control no longer knows the incarnation and another one has begun, so that the delivered records
     * were dropped and will never be counted.
     */
    confirm(incarnation: string, outcome: UsageCommandOutcome): boolean {
        if (incarnation !== this.incarnation) {
            return true;
        }
        if (outcome.kind === "incarnationUnknown" && this.nextIncarnation !== incarnation) {
            this.unconfirmed = [];
            return false;
        }
        if (outcome.kind !== "recorded") {
            return true;
        }
        const confirmed = Math.max(0, outcome.through + 1 - this.firstSequence);
        this.unconfirmed = this.unconfirmed.slice(confirmed);
        this.firstSequence += confirmed;
        return true;
    }

    /** Whether control has confirmed all records. */
    get isEverythingConfirmed(): boolean {
        return this.unconfirmed.length === 0 && this.pendingSums.size === 0;
    }

    private takePendingSums(): void {
        if (this.nextIncarnation !== this.incarnation) {
            this.incarnation = this.nextIncarnation;
            this.firstSequence = 1;
        }
        const taken = [...this.pendingSums].slice(0, maximumRecordsPerMessage);
        taken.forEach(([key]) => this.pendingSums.delete(key));
        this.unconfirmed = taken.map(([, record]) => record);
    }
}

function addRequest(
    sum: UsageRecord | undefined,
    request: FinishedRequest,
    charge: { readonly price: number; readonly cut: number; },
): UsageRecord {
    return {
        team: request.team,
        requestClass: request.requestClass,
        outcome: request.outcome,
        finishedAt: request.finishedAt,
        requests: (sum?.requests ?? 0) + 1,
        promptTokens: (sum?.promptTokens ?? 0) + request.promptTokens,
        cachedTokens: (sum?.cachedTokens ?? 0) + request.cachedTokens,
        outputTokens: (sum?.outputTokens ?? 0) + request.outputTokens,
        endpointTime: (sum?.endpointTime ?? 0) + Math.round(request.endpointTime),
        price: (sum?.price ?? 0) + charge.price,
        cut: (sum?.cut ?? 0) + charge.cut,
    };
}
