import type { UnixMilliseconds } from "../../util/clock.js";
import { WakeUp } from "../../util/wakeUp.js";
import type { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { chargeOf } from "../usage/charge.js";
import type { Consumption } from "../usage/charge.js";
import type { UsageOutcomeOfCommand, UsageRecord } from "../usage/usageCommand.js";

/** Usage records in one message at most. */
const recordsPerMessage = 500;

/** What one ended request used, and who pays. */
export interface EndedRequest extends Consumption {
    /** Empty on a route that is open to all. */
    readonly team: string;
    readonly requestClass: string;
    /** Time during which endpoints worked on it, in milliseconds. */
    readonly endpointTime: number;
    readonly finishedAt: UnixMilliseconds;
}

/** Consecutive records that control has not confirmed yet. */
export interface UsageDelivery {
    readonly incarnation: string;
    readonly firstSequence: number;
    readonly records: readonly UsageRecord[];
}

/**
 * Counts what ended requests used and delivers it to control, each record exactly once.
 *
 * While a delivery is not confirmed, further requests are added up, one sum for each team, class and outcome, so that
 * the memory in use depends on their number and not on how long control cannot be reached.
 */
export class UsageRecorder {
    /** Woken when a request was recorded. */
    readonly recorded = new WakeUp();
    private readonly sums = new Map<string, UsageRecord>();
    private unconfirmed: readonly UsageRecord[] = [];
    private firstSequence = 1;
    private nextIncarnation: string;

    /** @param incarnation Incarnation under which records are numbered. */
    constructor(private incarnation: string) {
        this.nextIncarnation = incarnation;
    }

    /** Goes on under another incarnation once every record of the present one is confirmed. */
    enterIncarnation(incarnation: string): void {
        this.nextIncarnation = incarnation;
    }

    /** Adds an ended request; its price is that of the configuration in force. */
    record(ended: EndedRequest, configuration: CompiledConfiguration): void {
        const charge = chargeOf(ended, configuration.priceOf(ended.requestClass), configuration.cutPerMillion);
        const key = JSON.stringify([ended.team, ended.requestClass, ended.outcome]);
        this.sums.set(key, addRequest(this.sums.get(key), ended, charge));
        this.recorded.wake();
    }

    /** The records to deliver now: the unconfirmed ones again, or else what was added up since; undefined for none. */
    nextDelivery(): UsageDelivery | undefined {
        if (this.unconfirmed.length === 0) {
            this.takeSums();
        }
        if (this.unconfirmed.length === 0) {
            return undefined;
        }
        return { incarnation: this.incarnation, firstSequence: this.firstSequence, records: this.unconfirmed };
    }

    /** Takes control's answer to the delivery of an incarnation; false when records can never be counted. */
    confirm(incarnation: string, outcome: UsageOutcomeOfCommand): boolean {
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

    /** Whether every record was confirmed. */
    get delivered(): boolean {
        return this.unconfirmed.length === 0 && this.sums.size === 0;
    }

    private takeSums(): void {
        if (this.nextIncarnation !== this.incarnation) {
            this.incarnation = this.nextIncarnation;
            this.firstSequence = 1;
        }
        const taken = [...this.sums].slice(0, recordsPerMessage);
        taken.forEach(([key]) => this.sums.delete(key));
        this.unconfirmed = taken.map(([, record]) => record);
    }
}

function addRequest(
    sum: UsageRecord | undefined,
    ended: EndedRequest,
    charge: { readonly price: number; readonly cut: number; },
): UsageRecord {
    return {
        team: ended.team,
        requestClass: ended.requestClass,
        outcome: ended.outcome,
        finishedAt: ended.finishedAt,
        requests: (sum?.requests ?? 0) + 1,
        promptTokens: (sum?.promptTokens ?? 0) + ended.promptTokens,
        cachedTokens: (sum?.cachedTokens ?? 0) + ended.cachedTokens,
        outputTokens: (sum?.outputTokens ?? 0) + ended.outputTokens,
        endpointTime: (sum?.endpointTime ?? 0) + Math.round(ended.endpointTime),
        price: (sum?.price ?? 0) + charge.price,
        cut: (sum?.cut ?? 0) + charge.cut,
    };
}
