import type { DomainOffer, FleetMember } from "../../process/capacity/capacityPlanner.js";
import type { StartEndpoints } from "../../process/platform/platformCommand.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Reclaim } from "./scenario.js";
import { failureDomains } from "./scenario.js";

/** Time between the reclaim notice and the termination of a cheap endpoint. */
const reclaimNotice: Milliseconds = 5_000;
/** Time that an endpoint needs to complete its running requests. */
const drainTime: Milliseconds = 20_000;
/** Time for which a failure domain counts as offering no cheap endpoints after a reclaim or a refused order. */
const refusalBackoff: Milliseconds = 120_000;

interface SimulatedEndpoint extends FleetMember {
    readonly readyAt: Milliseconds;
    readonly terminatesAt: Milliseconds;
}

/** Endpoints of a simulated platform that starts, drains and reclaims endpoints and refuses orders. */
export class SimulatedFleet {
    /** Number of orders, including refused ones. */
    orders = 0;
    /** Number of drained endpoints. */
    releases = 0;
    private endpoints: readonly SimulatedEndpoint[] = [];
    private lastEndpointNumber = 0;
    private readonly refusedUntilByDomain = new Map<string, Milliseconds>();

    constructor(private readonly reclaims: readonly Reclaim[], private readonly loadTime: Milliseconds) {}

    /** All endpoints that incur costs. */
    get members(): readonly FleetMember[] {
        return this.endpoints;
    }

    /** Advances the state of the endpoints to a time; returns the number of live endpoints with a new reclaim notice. */
    advance(now: Milliseconds): number {
        const activeReclaims = this.reclaims.filter(({ from, until }) => from <= now && now < until);
        const reclaimedDomains = new Set(activeReclaims.map(({ failureDomain }) => failureDomain));
        reclaimedDomains.forEach(domain => this.refusedUntilByDomain.set(domain, now + refusalBackoff));
        const noticedCount =
            this.endpoints.filter(({ cheap, failureDomain, state }) =>
                cheap && state === "live" && reclaimedDomains.has(failureDomain)
            ).length;
        this.endpoints = this.endpoints
            .filter(({ terminatesAt }) => terminatesAt > now)
            .map(endpoint =>
                endpoint.cheap && reclaimedDomains.has(endpoint.failureDomain) && endpoint.state !== "leaving"
                    ? {
                        ...endpoint,
                        state: "leaving",
                        terminatesAt: Math.min(endpoint.terminatesAt, now + reclaimNotice),
                    } as const
                    : endpoint
            )
            .map(endpoint =>
                endpoint.state === "starting" && endpoint.readyAt <= now
                    ? { ...endpoint, state: "live" } as const
                    : endpoint
            );
        return noticedCount;
    }

    /** Returns the offers of the failure domains, as known to the planner. */
    offers(now: Milliseconds): readonly DomainOffer[] {
        return failureDomains.map(failureDomain => ({
            failureDomain,
            steady: true,
            cheap: (this.refusedUntilByDomain.get(failureDomain) ?? -Infinity) <= now,
        }));
    }

    /** Starts the ordered endpoints; refuses orders for cheap endpoints in a failure domain with an active reclaim. */
    startEndpoints(order: StartEndpoints, now: Milliseconds): void {
        this.orders += 1;
        const isReclaiming = this.reclaims.some(({ failureDomain, from, until }) =>
            failureDomain === order.failureDomain && from <= now && now < until
        );
        if (order.cheap && isReclaiming) {
            this.refusedUntilByDomain.set(order.failureDomain, now + refusalBackoff);
            return;
        }
        const startedEndpoints = [...Array(order.count).keys()].map((): SimulatedEndpoint => ({
            endpoint: `e${(this.lastEndpointNumber += 1)}`,
            failureDomain: order.failureDomain,
            cheap: order.cheap,
            state: "starting",
            readyAt: now + this.loadTime,
            terminatesAt: Infinity,
        }));
        this.endpoints = [...this.endpoints, ...startedEndpoints];
    }

    /** Drains an endpoint; it terminates after the drain time. */
    drain(name: string, now: Milliseconds): void {
        this.releases += 1;
        this.endpoints = this.endpoints.map(endpoint =>
            endpoint.endpoint === name
                ? { ...endpoint, state: "draining", terminatesAt: now + drainTime } as const
                : endpoint
        );
    }
}
