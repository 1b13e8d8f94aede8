import type { Milliseconds } from "../../util/clock.js";
import type { Limits } from "../../version/manifest.js";
import type { LimitDemand, LimitShare } from "../limits/entryLimiter.js";
import { divideCount, divideLimit } from "../limits/limitShares.js";
import type { EntryDemand } from "../limits/limitShares.js";

/** Age beyond which an entry's demand no longer counts, in milliseconds. */
const demandLifetime: Milliseconds = 3_000;

/** An entry's demand for the limits of one team or key. */
export interface OwnerDemand extends LimitDemand {
    /** Name of the team, or `team/key`. */
    readonly owner: string;
}

/** The part of the limits of one team or key that an entry may use. */
export interface OwnerPart {
    readonly owner: string;
    readonly part: LimitShare;
}

interface ReportedDemand {
    readonly demand: LimitDemand;
    readonly reportedAt: Milliseconds;
}

/** Divides the limits of teams and keys between the entries by their demand. */
export class LimitDivision {
    /** Demands by owner, then by incarnation of the entry. */
    private readonly demands = new Map<string, Map<string, ReportedDemand>>();

    /**
     * @param limitsOf Gives the limits of a team or key over all entries; undefined where it has none.
     * @param entries Gives the incarnations of the entries that may serve.
     */
    constructor(
        private readonly limitsOf: (owner: string) => Limits | undefined,
        private readonly entries: () => readonly string[],
    ) {}

    /** Takes an entry's demands and returns its parts of the limits that they concern. */
    divide(incarnation: string, demands: readonly OwnerDemand[], now: Milliseconds): readonly OwnerPart[] {
        for (const demand of demands) {
            const reports = this.demands.get(demand.owner) ?? new Map<string, ReportedDemand>();
            reports.set(incarnation, { demand, reportedAt: now });
            this.demands.set(demand.owner, reports);
        }
        this.forget(now);
        return demands.flatMap(({ owner }) => this.partOf(owner, incarnation) ?? []);
    }

    private partOf(owner: string, incarnation: string): OwnerPart | undefined {
        const limits = this.limitsOf(owner);
        if (limits === undefined) {
            return undefined;
        }
        const { requestsPerSecond, tokensPerMinute, concurrentRequests } = limits;
        const part = {
            ...(requestsPerSecond === undefined ? {} : {
                requestsPerSecond: divideLimit(requestsPerSecond, this.shares(owner, "requests")).get(incarnation) ?? 0,
            }),
            ...(tokensPerMinute === undefined ? {} : {
                tokensPerMinute: divideLimit(tokensPerMinute, this.shares(owner, "tokens")).get(incarnation) ?? 0,
            }),
            ...(concurrentRequests === undefined ? {} : {
                concurrentRequests: divideCount(concurrentRequests, this.shares(owner, "concurrent")).get(incarnation)
                    ?? 0,
            }),
        };
        return { owner, part };
    }

    /** The demand of every entry; one that has not reported any has none. */
    private shares(owner: string, quantity: keyof LimitDemand): readonly EntryDemand[] {
        const reports = this.demands.get(owner);
        const known = new Set([...this.entries(), ...(reports?.keys() ?? [])]);
        return [...known].map(entry => ({ entry, demand: reports?.get(entry)?.demand[quantity] ?? 0 }));
    }

    private forget(now: Milliseconds): void {
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
