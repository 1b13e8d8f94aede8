import type { EventLog } from "../../logEvent/eventLog.js";
import type { UnixMilliseconds } from "../../util/clock.js";
import type { Pool } from "../../version/manifest.js";
import type { CommandSink } from "../platform/actExecutor.js";
import type { ActLedger } from "../platform/actLedger.js";
import type { PlatformAct, PlatformCommand } from "../platform/platformCommand.js";
import { describeReason } from "./capacityPlanner.js";
import type { CapacityPlanner, PoolPlan, PoolView } from "./capacityPlanner.js";
import { planActs } from "./planActs.js";
import { buildPoolView, refusalPause } from "./poolViewBuilder.js";
import type { PoolMeasurement } from "./poolViewBuilder.js";

/** What the leader learns from entries and endpoints, and needs to plan. */
export abstract class PoolKnowledge {
    /** Pools of the configuration in force. */
    abstract pools(): readonly Pool[];

    /** What was measured of a pool up to a time. */
    abstract measure(pool: Pool, now: UnixMilliseconds): PoolMeasurement;

    /** Whether a starting endpoint is ready for work. */
    abstract isReady(endpoint: string): boolean;

    /** Whether a draining or leaving endpoint runs nothing for any entry. */
    abstract isIdle(endpoint: string): boolean;
}

/** Plans every pool at regular intervals while this process leads, and puts what follows into the log. */
export class CapacityDuty {
    private readonly newestPlans = new Map<string, PoolPlan>();
    private number = 0;

    constructor(
        private readonly ledger: ActLedger,
        private readonly log: CommandSink<PlatformCommand>,
        private readonly planner: CapacityPlanner,
        private readonly knowledge: PoolKnowledge,
        private readonly events: EventLog,
    ) {}

    /** The newest plan of each pool, for the operator. */
    get plans(): readonly PoolPlan[] {
        return [...this.newestPlans.values()];
    }

    /** Plans once. `term` is that in which this process leads; ids of acts begin with it. */
    async runOnce(term: number, now: UnixMilliseconds, signal: AbortSignal): Promise<void> {
        await this.observeReady(now, signal);
        const basedOn = this.ledger.revision;
        const views = this.knowledge.pools().map(pool =>
            buildPoolView(pool, this.knowledge.measure(pool, now), this.ledger, now)
        );
        const planned = views.filter(view => view !== undefined).map(view => planActs(this.planOf(view, now), view));
        const acts = [...planned.flatMap(({ starts }) => starts), ...this.stops(now)];
        if (acts.length > 0) {
            const identified = acts.map(act => ({ actId: this.nextId(term), act }));
            await this.log.propose({ kind: "intendActs", acts: identified, basedOn, at: now }, signal);
        }
        for (const endpoint of planned.flatMap(({ drains }) => drains)) {
            await this.log.propose({ kind: "observeEndpoint", endpoint, state: "draining", at: now }, signal);
        }
    }

    private planOf(view: PoolView, now: UnixMilliseconds): PoolPlan {
        const plan = this.planner.plan(view, now);
        const before = this.newestPlans.get(view.pool);
        this.newestPlans.set(view.pool, plan);
        if (JSON.stringify(before?.domains) !== JSON.stringify(plan.domains)) {
            this.report(view, plan);
        }
        return plan;
    }

    private report(view: PoolView, plan: PoolPlan): void {
        const { pool, spendPerHour, domains, reasons } = plan;
        this.events.write("capacityPlanned", {
            pool,
            steady: domains.reduce((total, { steady }) => total + steady, 0),
            cheap: domains.reduce((total, { cheap }) => total + cheap, 0),
            demand: view.demand.map(rate => String(Math.round(rate))),
            serviceRate: view.serviceRate,
            spendPerHour,
            reasons: reasons.map(describeReason),
        });
        const limit = reasons.find(reason => reason.kind === "spendLimit");
        if (limit !== undefined) {
            const { missing: missingEndpoints, firstTierAtRisk } = limit;
            const { spendLimitPerHour } = view;
            this.events.write("spendLimitReached", { pool, spendLimitPerHour, missingEndpoints, firstTierAtRisk });
        }
    }

    private async observeReady(at: UnixMilliseconds, signal: AbortSignal): Promise<void> {
        const starting = this.ledger.fleet.list().filter(({ state }) => state === "starting");
        for (const { endpoint } of starting.filter(member => this.knowledge.isReady(member.endpoint))) {
            await this.log.propose({ kind: "observeEndpoint", endpoint, state: "live", at }, signal);
        }
    }

    /** Endpoints that have drained are given back; leaving ones go by themselves, and refused stops wait. */
    private stops(now: UnixMilliseconds): readonly PlatformAct[] {
        const refused = this.ledger.answeredActs().filter(({ answer, answeredAt }) =>
            answer?.kind === "failed" && now - (answeredAt ?? 0) < refusalPause
        );
        const acts = [...this.ledger.openActs(), ...refused].map(({ act }) => act);
        const stopping = new Set(acts.flatMap(act => act.kind === "stopEndpoint" ? [act.endpoint] : []));
        return this.ledger.fleet.list()
            .filter(({ state, endpoint }) => state === "draining" && !stopping.has(endpoint))
            .filter(({ endpoint }) => this.knowledge.isIdle(endpoint))
            .map(({ failureDomain, endpoint }) => ({ kind: "stopEndpoint", failureDomain, endpoint }));
    }

    private nextId(term: number): string {
        this.number += 1;
        return `${term}-${this.number}`;
    }
}
