import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { RequestClass } from "../../version/manifest.js";
import type { PolicyFigures } from "./policyFigures.js";
import type { Scenario } from "./scenario.js";
import type { Demand } from "./workload.js";

/** Teams with fewer demands are left out of the worst-served team. */
const smallestTeamSample = 20;

interface Tally {
    demands: number;
    met: number;
    tokens: number;
}

interface ServiceGap {
    running: number;
    waiting: number;
    unservedSince: Milliseconds | undefined;
    longest: Milliseconds;
}

/** Gathers the figures of one run. */
export class FigureRecorder {
    private readonly classes = new Map<string, Tally>();
    private readonly teams = new Map<string, Tally>();
    private readonly gaps = new Map<string, ServiceGap>();
    private readonly refused = new Array<number>(lowestTier + 1).fill(0);
    private goodTokens = 0;
    private madeTokens = 0;
    private wastedTokens = 0;
    private attempts = 0;
    private demands = 0;
    private preemptions = 0;

    /** Notes a demand, once for all of its attempts. */
    noteDemand(demand: Demand): void {
        this.demands += 1;
        for (const tally of this.talliesOf(demand)) {
            tally.demands += 1;
            tally.tokens += demand.outputTokens;
        }
    }

    /** Notes that an attempt was offered to an entry. */
    noteAttempt(requestClass: RequestClass, now: Milliseconds): void {
        this.attempts += 1;
        const gap = this.gapOf(requestClass);
        gap.waiting += 1;
        if (gap.running === 0) {
            gap.unservedSince ??= now;
        }
    }

    /** Notes that an attempt was refused. */
    noteRefused(requestClass: RequestClass): void {
        this.refused[requestClass.tier] = (this.refused[requestClass.tier] ?? 0) + 1;
        this.gapOf(requestClass).waiting -= 1;
    }

    /** Notes that a caller left while its attempt waited. */
    noteLeftWaiting(requestClass: RequestClass): void {
        this.gapOf(requestClass).waiting -= 1;
    }

    /** Notes that a request began to run. */
    noteStarted(requestClass: RequestClass, now: Milliseconds): void {
        const gap = this.gapOf(requestClass);
        closeGap(gap, now);
        gap.running += 1;
        gap.waiting -= 1;
    }

    /** Notes that a request stopped running. */
    noteStopped(requestClass: RequestClass, now: Milliseconds): void {
        const gap = this.gapOf(requestClass);
        gap.running -= 1;
        if (gap.running === 0 && gap.waiting > 0) {
            gap.unservedSince = now;
        }
    }

    /** Notes that a running request was interrupted and waits again; `again` tokens must be processed a second time. */
    notePreempted(requestClass: RequestClass, again: number, now: Milliseconds): void {
        this.preemptions += 1;
        this.wastedTokens += again;
        this.madeTokens += again;
        this.gapOf(requestClass).waiting += 1;
        this.noteStopped(requestClass, now);
    }

    /** Notes tokens that were made for an answer that nobody received whole. */
    noteWasted(tokens: number): void {
        this.madeTokens += tokens;
        this.wastedTokens += tokens;
    }

    /** Notes a whole answer, and whether it met the target counted from its attempt and from the first attempt. */
    noteAnswered(demand: Demand, attemptMet: boolean, demandMet: boolean): void {
        this.madeTokens += demand.outputTokens;
        this.goodTokens += attemptMet ? demand.outputTokens : 0;
        if (demandMet) {
            this.talliesOf(demand).forEach(tally => tally.met += 1);
        }
    }

    /** The figures at the end of the run. */
    figures(scenario: Scenario, now: Milliseconds): PolicyFigures {
        this.gaps.forEach(gap => {
            closeGap(gap, now);
        });
        return {
            attainment: mapValues(this.classes, shareMet),
            goodput: this.goodTokens / (scenario.duration / 1_000),
            wastedShare: this.wastedTokens / Math.max(1, this.madeTokens),
            worstTeam: this.worstOf([...this.teams.keys()]),
            worstSmallTeam: this.worstOf(scenario.smallTeams ?? this.teamsWithinShare(scenario)),
            refusedByTier: this.refused,
            preemptions: this.preemptions,
            longestWithoutService: mapValues(this.gaps, gap => gap.longest / 1_000),
            attemptsPerDemand: this.attempts / Math.max(1, this.demands),
        };
    }

    private teamsWithinShare(scenario: Scenario): readonly string[] {
        const fairTokens = (scenario.capacity * scenario.duration) / 1_000 / this.teams.size;
        return [...this.teams].flatMap(([team, tally]) => tally.tokens <= fairTokens ? [team] : []);
    }

    private worstOf(teams: readonly string[]): number {
        const tallies = teams.flatMap(team => this.teams.get(team) ?? []);
        return Math.min(1, ...tallies.filter(tally => tally.demands >= smallestTeamSample).map(shareMet));
    }

    private talliesOf(demand: Demand): readonly Tally[] {
        return [tallyOf(this.classes, demand.requestClass.name), tallyOf(this.teams, demand.team)];
    }

    private gapOf(requestClass: RequestClass): ServiceGap {
        let gap = this.gaps.get(requestClass.name);
        if (gap === undefined) {
            gap = { running: 0, waiting: 0, unservedSince: undefined, longest: 0 };
            this.gaps.set(requestClass.name, gap);
        }
        return gap;
    }
}

function closeGap(gap: ServiceGap, now: Milliseconds): void {
    if (gap.unservedSince !== undefined) {
        gap.longest = Math.max(gap.longest, now - gap.unservedSince);
        gap.unservedSince = undefined;
    }
}

function tallyOf(tallies: Map<string, Tally>, name: string): Tally {
    let tally = tallies.get(name);
    if (tally === undefined) {
        tally = { demands: 0, met: 0, tokens: 0 };
        tallies.set(name, tally);
    }
    return tally;
}

function shareMet(tally: Tally): number {
    return tally.met / tally.demands;
}

function mapValues<T>(values: ReadonlyMap<string, T>, change: (value: T) => number): Readonly<Record<string, number>> {
    return Object.fromEntries([...values].map(([name, value]) => [name, change(value)]));
}
