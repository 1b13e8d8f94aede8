import { TimeHistogram } from "../../process/metrics/timeHistogram.js";
import type { TimeSummary } from "../../process/metrics/timeHistogram.js";
import { outcomeKinds } from "./requestOutcome.js";
import type { OutcomeKind, RequestOutcome } from "./requestOutcome.js";

/** Report of the requests of one class and team; the JSON output. */
export interface FlowReport {
    readonly team: string;
    readonly requestClass: string;
    readonly requests: number;
    /** Fraction of requests with a complete response within the target. */
    readonly attainment: number;
    readonly outcomes: Readonly<Partial<Record<OutcomeKind, number>>>;
    /** Time to the first token since the scheduled time of the request, in milliseconds; only of complete responses. */
    readonly firstToken: TimeSummary;
    /** Times between consecutive tokens, in milliseconds; only of complete responses. */
    readonly betweenTokens: TimeSummary;
    /** Time to the end of the response since the scheduled time, in milliseconds; only of complete responses. */
    readonly total: TimeSummary;
}

class FlowStatistics {
    readonly outcomeCounts = new Map<OutcomeKind, number>();
    readonly firstToken = new TimeHistogram();
    readonly betweenTokens = new TimeHistogram();
    readonly total = new TimeHistogram();
    requests = 0;
    requestsWithinTarget = 0;

    constructor(readonly team: string, readonly requestClass: string) {}

    add(outcome: RequestOutcome): void {
        this.requests++;
        this.requestsWithinTarget += outcome.attained ? 1 : 0;
        this.outcomeCounts.set(outcome.kind, (this.outcomeCounts.get(outcome.kind) ?? 0) + 1);
        if (outcome.kind !== "whole") {
            return;
        }
        this.total.record(outcome.total);
        if (outcome.firstToken !== undefined) {
            this.firstToken.record(outcome.firstToken);
        }
        for (const gap of outcome.betweenTokens) {
            this.betweenTokens.record(gap);
        }
    }

    report(): FlowReport {
        const observedKinds = outcomeKinds.filter(kind => this.outcomeCounts.has(kind));
        return {
            team: this.team,
            requestClass: this.requestClass,
            requests: this.requests,
            attainment: this.requestsWithinTarget / this.requests,
            outcomes: Object.fromEntries(observedKinds.map(kind => [kind, this.outcomeCounts.get(kind) ?? 0])),
            firstToken: this.firstToken.summary(),
            betweenTokens: this.betweenTokens.summary(),
            total: this.total.summary(),
        };
    }
}

/** Collects the outcomes of a load by class and team. */
export class LoadStatistics {
    private readonly flows = new Map<string, FlowStatistics>();

    /** Adds one outcome. */
    add(outcome: RequestOutcome): void {
        const key = `${outcome.team} ${outcome.requestClass}`;
        const statistics = this.flows.get(key) ?? new FlowStatistics(outcome.team, outcome.requestClass);
        this.flows.set(key, statistics);
        statistics.add(outcome);
    }

    /** Returns one report for each class and team, in the order of their first outcomes. */
    reports(): readonly FlowReport[] {
        return [...this.flows.values()].map(flow => flow.report());
    }
}
