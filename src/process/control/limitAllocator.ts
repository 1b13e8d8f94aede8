import type { Milliseconds } from "../../util/clock.js";
import type { Limits } from "../../version/manifest.js";
import type { LimitDemand, LimitShare } from "../limits/entryLimiter.js";
import { divideCount, divideLimit } from "../limits/limitShares.js";
import type { EntryDemand } from "../limits/limitShares.js";

/** Age beyond which an entry's demand is ignored, in milliseconds. */
const demandLifetime: Milliseconds = 3_000;

/** Demand of one entry for the limits of one team or key. */
export interface OwnerDemand extends LimitDemand {
    /** Name of the team, or `team/key`. */
    readonly owner: string;
}

/** Share of one entry in the limits of one team or key. */
export interface OwnerShare {
    readonly owner: string;
    readonly part: LimitShare;
}

interface ReportedDemand {
    readonly demand: LimitDemand;
    readonly reportedAt: Milliseconds;
}

/** Divides the limits of teams and keys between the entries according to their demand. */
export class LimitAllocator {
    /** Demands by owner, then by incarnation. */
    private readonly demands = new Map<string, Map<string, ReportedDemand>>();

    /**
     * @param limitsOf Returns the limits of a team or key across all entries; undefined if it has none.
     * @param servingIncarnations Returns the incarnations of the entries that may serve.
     */
    constructor(
        private readonly limitsOf: (owner: string) => Limits | undefined,
        private readonly servingIncarnations: () => readonly string[],
    ) {}

    /** Updates an entry's demands and returns its shares of the limits of these owners. */
    allocate(incarnation: string, demands: readonly OwnerDemand[], now: Milliseconds): readonly OwnerShare[] {
        for (const demand of demands) {
            const reports = this.demands.get(demand.owner) ?? new Map<string, ReportedDemand>();
            reports.set(incarnation, { demand, reportedAt: now });
            this.demands.set(demand.owner, reports);
        }
        this.removeExpiredDemands(now);
        return demands.flatMap(({ owner }) => this.shareOf(owner, incarnation) ?? []);
    }

    private shareOf(owner: string, incarnation: string): OwnerShare | undefined {
        const limits = this.limitsOf(owner);
        if (limits === undefined) {
            return undefined;
        }
        const { requestsPerSecond, tokensPerMinute, concurrentRequests } = limits;
        const part = {
            ...(requestsPerSecond === undefined ? {} : {
                requestsPerSecond: divideLimit(requestsPerSecond, this.entryDemands(owner, "requests")).get(incarnation)
                    ?? 0,
            }),
            ...(tokensPerMinute === undefined ? {} : {
                tokensPerMinute: divideLimit(tokensPerMinute, this.entryDemands(owner, "tokens")).get(incarnation) ?? 0,
            }),
            ...(concurrentRequests === undefined ? {} : {
                concurrentRequests:
                    divideCount(concurrentRequests, this.entryDemands(owner, "concurrent")).get(incarnation)
                        ?? 0,
            }),
        };
        return { owner, part };
    }

    /** Returns the demand of every entry, identified by its incarnation; 0 for an entry without a report. */
    private entryDemands(owner: string, quantity: keyof LimitDemand): readonly EntryDemand[] {
        const reports = this.demands.get(owner);
        const incarnations = new Set([...this.servingIncarnations(), ...(reports?.keys() ?? [])]);
        return [...incarnations].map(incarnation => ({
            entry: incarnation,
            demand: reports?.get(incarnation)?.demand[quantity] ?? 0,
        }));
    }

    private removeExpiredDemands(now: Milliseconds): void {
        for (const [owner, reports] of this.demands) {
            for (const [incarnation, { reportedAt }] of reports) {
                if (now - reportedAt > demandLifetime) {
                    reports.delete(incarnation);
                }
            }
            if (reports.size === 0) {
                this.demands.delete(owner);
            }
        }
    }
}
