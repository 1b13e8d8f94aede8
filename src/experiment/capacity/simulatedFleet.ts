import type { DomainOffer, FleetMember } from "../../process/capacity/capacityPlanner.js";
import type { StartEndpoints } from "../../process/platform/platformCommand.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Reclaim } from "./scenario.js";
import { failureDomains } from "./scenario.js";

/** Notice that the platform gives before cheap endpoints vanish. */
const reclaimNotice: Milliseconds = 5_000;
/** Time that an endpoint needs to finish what it runs. */
const drainTime: Milliseconds = 20_000;
/** For how long a domain is not asked again after it refused cheap endpoints. */
const refusalPause: Milliseconds = 120_000;

interface SimulatedEndpoint extends FleetMember {
    readonly readyAt: Milliseconds;
    readonly endsAt: Milliseconds;
}

/** Endpoints of a simulated platform that loads, drains, reclaims and refuses. */
export class SimulatedFleet {
    orders = 0;
    releases = 0;
    private endpoints: readonly SimulatedEndpoint[] = [];
    private number = 0;
    private readonly refusedUntil = new Map<string, Milliseconds>();

    constructor(private readonly reclaims: readonly Reclaim[], private readonly loadTime: Milliseconds) {}

    /** Every endpoint that is paid for. */
    get members(): readonly FleetMember[] {
        return this.endpoints;
    }

    /** Lets time pass: loads end, endpoints leave and vanish. Returns how many live ones got a reclaim notice. */
    advance(now: Milliseconds): number {
        const reclaimed = this.reclaims.filter(({ from, until }) => from <= now && now < until);
        const domains = new Set(reclaimed.map(({ failureDomain }) => failureDomain));
        domains.forEach(domain => this.refusedUntil.set(domain, now + refusalPause));
        const noticed =
            this.endpoints.filter(({ cheap, failureDomain, state }) =>
                cheap && state === "live" && domains.has(failureDomain)
            ).length;
        this.endpoints = this.endpoints
            .filter(({ endsAt }) => endsAt > now)
            .map(endpoint =>
                endpoint.cheap && domains.has(endpoint.failureDomain) && endpoint.state !== "leaving"
                    ? { ...endpoint, state: "leaving", endsAt: Math.min(endpoint.endsAt, now + reclaimNotice) } as const
                    : endpoint
            )
            .map(endpoint =>
                endpoint.state === "starting" && endpoint.readyAt <= now
                    ? { ...endpoint, state: "live" } as const
                    : endpoint
            );
        return noticed;
    }

    /** What the failure domains offer as far as a leader knows. */
    offers(now: Milliseconds): readonly DomainOffer[] {
        return failureDomains.map(failureDomain => ({
            failureDomain,
            steady: true,
            cheap: (this.refusedUntil.get(failureDomain) ?? -Infinity) <= now,
        }));
    }

    /** Grants an order, or refuses it where cheap endpoints are being reclaimed. */
    start(order: StartEndpoints, now: Milliseconds): void {
        this.orders += 1;
        const reclaimed = this.reclaims.some(({ failureDomain, from, until }) =>
            failureDomain === order.failureDomain && from <= now && now < until
        );
        if (order.cheap && reclaimed) {
            this.refusedUntil.set(order.failureDomain, now + refusalPause);
            return;
        }
        const granted = [...Array(order.count).keys()].map((): SimulatedEndpoint => ({
            endpoint: `e${(this.number += 1)}`,
            failureDomain: order.failureDomain,
            cheap: order.cheap,
            state: "starting",
            readyAt: now + this.loadTime,
            endsAt: Infinity,
        }));
        this.endpoints = [...this.endpoints, ...granted];
    }

    /** Lets an endpoint finish what it runs and gives it back. */
    drain(name: string, now: Milliseconds): void {
        this.releases += 1;
        this.endpoints = this.endpoints.map(endpoint =>
            endpoint.endpoint === name ? { ...endpoint, state: "draining", endsAt: now + drainTime } as const : endpoint
        );
    }
}
