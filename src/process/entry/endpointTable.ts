import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { ManifestEndpoint } from "../../version/manifest.js";
import { EndpointGroup } from "./endpointGroup.js";
import type { HealthFault } from "./endpointHealth.js";
import { EndpointState, requirementKey } from "./endpointState.js";
import type { EndpointRequirement } from "./endpointState.js";
import { reviewStragglers } from "./stragglerReview.js";
import type { EndpointLatencyReading } from "./stragglerReview.js";

const noRequirement: EndpointRequirement = { model: undefined, version: undefined, adapter: undefined };

/** Notified when endpoints are set aside or return on trial. */
export interface EndpointObserver {
    setAside(endpoint: EndpointState, fault: HealthFault): void;
    returned(endpoint: EndpointState): void;
}

/** The endpoints of one pool that this entry sends requests to, grouped by the requirements of requests. */
export class EndpointTable {
    private readonly baseGroup = new EndpointGroup(noRequirement);
    private readonly groups = new Map<string, EndpointGroup>([[requirementKey(noRequirement), this.baseGroup]]);
    private readonly states = new Map<string, EndpointState>();

    /**
     * @param pool Name of the pool.
     * @param random Source of the jitter of back-off times.
     * @param observer Notified when endpoints are set aside or return on trial.
     */
    constructor(
        readonly pool: string,
        private readonly random: RandomSource,
        private readonly observer: EndpointObserver,
    ) {}

    /** All endpoints, including unusable ones. */
    get all(): readonly EndpointState[] {
        return this.baseGroup.members;
    }

    /** Total free slots of the usable endpoints. */
    get freeSlots(): number {
        return this.baseGroup.freeSlots;
    }

    /** Returns the endpoint with a name, or undefined. */
    find(name: string): EndpointState | undefined {
        return this.states.get(name);
    }

    /**
     * Replaces the endpoints; those with the same name, address and capacity keep their state.
     *
     * @param capacity Maximum number of concurrent requests of this entry per endpoint.
     */
    setEndpoints(descriptions: readonly ManifestEndpoint[], capacity: number): void {
        const members = descriptions.map(description => {
            const existing = this.states.get(description.name);
            const isUnchanged = existing?.description.address === description.address && existing.capacity === capacity;
            return isUnchanged ? existing : this.createState(description, capacity);
        });
        this.states.clear();
        members.forEach(member => this.states.set(member.name, member));
        this.groups.forEach(group => {
            group.setMembers(members);
        });
    }

    /** Returns the group of endpoints for a requirement; creates it on first use. */
    groupFor(requirement: EndpointRequirement): EndpointGroup {
        // A requirement of a model alone is always satisfied, because a pool serves one model.
        const hasNoRequirement = requirement.version === undefined && requirement.adapter === undefined;
        const key = hasNoRequirement ? requirementKey(noRequirement) : requirementKey(requirement);
        const existing = this.groups.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const created = new EndpointGroup(requirement);
        created.setMembers(this.baseGroup.members);
        this.groups.set(key, created);
        return created;
    }

    /** Records a fault of an endpoint, which sets it aside. */
    recordFault(endpoint: EndpointState, fault: HealthFault, now: Milliseconds): void {
        if (endpoint.recordFault(fault, now, this.random.float())) {
            this.observer.setAside(endpoint, fault);
        }
    }

    /** Records the result of a probe of an endpoint that is set aside. */
    recordProbe(endpoint: EndpointState, succeeded: boolean, now: Milliseconds): void {
        endpoint.recordProbe(succeeded, now, this.random.float());
        if (succeeded) {
            this.observer.returned(endpoint);
        }
    }

    /** Sets the number of entries that send requests to each endpoint. */
    setSharingEntries(entries: number, now: Milliseconds): void {
        this.all.forEach(endpoint => {
            endpoint.setSharingEntries(entries, now);
        });
    }

    /** Discards expired information about all endpoints. */
    refresh(now: Milliseconds): void {
        this.all.forEach(endpoint => {
            endpoint.refresh(now);
        });
    }

    /** Compares the latencies of the endpoints, sets stragglers aside and ends the trials of recovered ones. */
    setAsideStragglers(now: Milliseconds): void {
        const review = reviewStragglers(this.all.map(readLatency));
        for (const name of review.slow) {
            const endpoint = this.states.get(name);
            if (endpoint !== undefined) {
                this.recordFault(endpoint, "slow", now);
            }
        }
        review.recovered.forEach(name => {
            this.states.get(name)?.recordNormalLatency(now);
        });
    }

    private createState(description: ManifestEndpoint, capacity: number): EndpointState {
        return new EndpointState(description, this.pool, capacity, endpoint => {
            this.groups.forEach(group => {
                group.update(endpoint);
            });
        });
    }
}

function readLatency(endpoint: EndpointState): EndpointLatencyReading {
    const { stepTime, stepCount, firstTokenTime, firstTokenCount } = endpoint.latency;
    const { state } = endpoint.health;
    return {
        name: endpoint.name,
        stepTime,
        stepCount,
        firstTokenTime,
        firstTokenCount,
        setAside: state.kind === "setAside" && state.fault === "slow",
        onTrial: state.kind === "trial" && state.fault === "slow",
    };
}
