import { TimeHistogram } from "../../process/metrics/timeHistogram.js";
import type { TimeSummary } from "../../process/metrics/timeHistogram.js";
import { outcomeKinds } from "./requestOutcome.js";
import type { OutcomeKind, RequestOutcome } from "./requestOutcome.js";

/** The figures of one class of one team. */
export interface FlowFigures {
    readonly team: string;
    readonly requestClass: string;
    readonly requests: number;
    /** Fraction of requests whose whole answer came within the target. */
    readonly attainment: number;
    readonly outcomes: Readonly<Partial<Record<OutcomeKind, number>>>;
    /** All times in milliseconds, from the due time of the request, of whole answers alone. */
    readonly firstToken: TimeSummary;
    readonly betweenTokens: TimeSummary;
    readonly total: TimeSummary;
}

class FlowTally {
    readonly outcomes = new Map<OutcomeKind, number>();
    readonly firstToken = new TimeHistogram();
    readonly betweenTokens = new TimeHistogram();
    readonly total = new TimeHistogram();
    requests = 0;
    attained = 0;

    constructor(readonly team: string, readonly requestClass: string) {}

    add(outcome: RequestOutcome): void {
        this.requests++;
        this.attained += outcome.attained ? 1 : 0;
        this.outcomes.set(outcome.kind, (this.outcomes.get(outcome.kind) ?? 0) + 1);
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

    figures(): FlowFigures {
        const counted = outcomeKinds.filter(kind => this.outcomes.has(kind));
        return {
            team: this.team,
            requestClass: this.requestClass,
            requests: this.requests,
            attainment: this.attained / this.requests,
            outcomes: Object.fromEntries(counted.map(kind => [kind, this.outcomes.get(kind) ?? 0])),
            firstToken: this.firstToken.summary(),
            betweenTokens: this.betweenTokens.summary(),
            total: this.total.summary(),
        };
    }
}

/** Counts the outcomes of a load by class and team. */
export class LoadTally {
    private readonly flows = new Map<string, FlowTally>();

    /** Counts one outcome. */
    add(outcome: RequestOutcome): void {
        const name = `${outcome.team} ${outcome.requestClass}`;
        const tally = this.flows.get(name) ?? new FlowTally(outcome.team, outcome.requestClass);
        this.flows.set(name, tally);
        tally.add(outcome);
    }

    /** The figures by class and team, in the order of their first outcome. */
    figures(): readonly FlowFigures[] {
        return [...this.flows.values()].map(flow => flow.figures());
    }
}
