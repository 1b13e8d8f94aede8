import type { EventLog } from "../../logEvent/eventLog.js";
import type { UnixMilliseconds } from "../../util/clock.js";
import type { Pool } from "../../version/manifest.js";
import type { CommandSink } from "../platform/actExecutor.js";
import type { ActLedger } from "../platform/actLedger.js";
import type { PlatformAct, PlatformCommand } from "../platform/platformCommand.js";
import { describeReason } from "./capacityPlanner.js";
import type { CapacityPlanner, PoolPlan, PoolView } from "./capacityPlanner.js";
import { planActs } from "./planActs.js";
import { buildPoolView, refusalCooldown } from "./poolViewBuilder.js";
import type { PoolMeasurement } from "./poolViewBuilder.js";

/** Pool measurements and endpoint states that the leader collects from entries and endpoints for planning. */
export abstract class PoolObserver {
    /** Returns the pools of the configuration in force. */
    abstract pools(): readonly Pool[];

    /** Returns the measurements of a pool up to a time. */
    abstract measure(pool: Pool, now: UnixMilliseconds): PoolMeasurement;

    /** Whether a starting endpoint is ready for requests. */
    abstract isReady(endpoint: string): boolean;

    /** Whether a draining or leaving endpoint runs no request of any entry. */
    abstract isIdle(endpoint: string): boolean;
}

/** Plans every pool when called by the leader, and proposes the resulting acts to the replicated log. */
export class CapacityDuty {
    private readonly latestPlans = new Map<string, PoolPlan>();
    private lastActNumber = 0;

    constructor(
        private readonly ledger: ActLedger,
        private readonly commandSink: CommandSink<PlatformCommand>,
        private readonly planner: CapacityPlanner,
        private readonly poolObserver: PoolObserver,
        private readonly eventLog: EventLog,
    ) {}

    /** The latest plan of each pool. */
    get plans(): readonly PoolPlan[] {
        return [...this.latestPlans.values()];
    }

    /**
     * Plans every pool once.
     *
     * @param term Term in which this process leads; prefix of the ids of acts.
     */
    async runOnce(term: number, now: UnixMilliseconds, signal: AbortSignal): Promise<void> {
        await this.proposeReadyEndpoints(now, signal);
        const basedOn = this.ledger.revision;
        const views = this.poolObserver.pools().map(pool =>
            buildPoolView(pool, this.poolObserver.measure(pool, now), this.ledger, now)
        );
        const plannedActs = views.filter(view => view !== undefined).map(view =>
            planActs(this.createPlan(view, now), view)
        );
        const acts = [...plannedActs.flatMap(({ starts }) => starts), ...this.createStopActs(now)];
        if (acts.length > 0) {
            const actsWithIds = acts.map(act => ({ actId: this.nextActId(term), act }));
            await this.commandSink.propose({ kind: "intendActs", acts: actsWithIds, basedOn, at: now }, signal);
        }
        for (const endpoint of plannedActs.flatMap(({ drains }) => drains)) {
            await this.commandSink.propose({ kind: "observeEndpoint", endpoint, state: "draining", at: now }, signal);
        }
    }

    /** Plans one pool, and logs the plan if it differs from the previous one. */
    private createPlan(view: PoolView, now: UnixMilliseconds): PoolPlan {
        const plan = this.planner.plan(view, now);
        const previous = this.latestPlans.get(view.pool);
        this.latestPlans.set(view.pool, plan);
        if (JSON.stringify(previous?.domains) !== JSON.stringify(plan.domains)) {
            this.logPlan(view, plan);
        }
        return plan;
    }

    private logPlan(view: PoolView, plan: PoolPlan): void {
        const { pool, spendPerHour, domains, reasons } = plan;
        this.eventLog.write("capacityPlanned", {
            pool,
            steady: domains.reduce((total, { steady }) => total + steady, 0),
            cheap: domains.reduce((total, { cheap }) => total + cheap, 0),
            demand: view.demand.map(rate => String(Math.round(rate))),
            serviceRate: view.serviceRate,
            spendPerHour,
            reasons: reasons.map(describeReason),
        });
        const spendLimitReason = reasons.find(reason => reason.kind === "spendLimit");
        if (spendLimitReason !== undefined) {
            const { missing: missingEndpoints, firstTierAtRisk } = spendLimitReason;
            const { spendLimitPerHour } = view;
            this.eventLog.write("spendLimitReached", { pool, spendLimitPerHour, missingEndpoints, firstTierAtRisk });
        }
    }

    private async proposeReadyEndpoints(at: UnixMilliseconds, signal: AbortSignal): Promise<void> {
        const starting = this.ledger.fleet.list().filter(({ state }) => state === "starting");
        for (const { endpoint } of starting.filter(member => this.poolObserver.isReady(member.endpoint))) {
            await this.commandSink.propose({ kind: "observeEndpoint", endpoint, state: "live", at }, signal);
        }
    }

    /**
     * Creates acts that stop the draining endpoints that are idle.
     *
     * Leaving endpoints need no stop, because the platform reclaims them. A stop that failed is retried only after
     * {@link refusalCooldown}.
     */
    private createStopActs(now: UnixMilliseconds): readonly PlatformAct[] {
        const recentlyFailed = this.ledger.answeredActs().filter(({ answer, answeredAt }) =>
            answer?.kind === "failed" && now - (answeredAt ?? 0) < refusalCooldown
        );
        const acts = [...this.ledger.openActs(), ...recentlyFailed].map(({ act }) => act);
        const stoppingEndpoints = new Set(acts.flatMap(act => act.kind === "stopEndpoint" ? [act.endpoint] : []));
        return this.ledger.fleet.list()
            .filter(({ state, endpoint }) => state === "draining" && !stoppingEndpoints.has(endpoint))
            .filter(({ endpoint }) => this.poolObserver.isIdle(endpoint))
            .map(({ failureDomain, endpoint }) => ({ kind: "stopEndpoint", failureDomain, endpoint }));
    }

    private nextActId(term: number): string {
        this.lastActNumber += 1;
        return `${term}-${this.lastActNumber}`;
    }
}
