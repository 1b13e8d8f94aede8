import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { ManifestEndpoint } from "../../version/manifest.js";
import { EndpointGroup } from "./endpointGroup.js";
import type { HealthFault } from "./endpointHealth.js";
import { EndpointState, requirementKey } from "./endpointState.js";
import type { EndpointRequirement } from "./endpointState.js";
import { reviewStragglers } from "./stragglerReview.js";
import type { PaceReading } from "./stragglerReview.js";

const noRequirement: EndpointRequirement = { model: undefined, version: undefined, adapter: undefined };

/** Tells of endpoints that were set aside or came back. */
export interface EndpointObserver {
    setAside(endpoint: EndpointState, fault: HealthFault): void;
    returned(endpoint: EndpointState): void;
}

/** The endpoints of one pool that this entry sends requests to. */
export class EndpointTable {
    private readonly base = new EndpointGroup(noRequirement);
    private readonly groups = new Map<string, EndpointGroup>([[requirementKey(noRequirement), this.base]]);
    private readonly states = new Map<string, EndpointState>();

    /**
     * @param pool Name of the pool.
     * @param random Spreads probes.
     * @param observer Told of endpoints that were set aside or came back.
     */
    constructor(
        readonly pool: string,
        private readonly random: RandomSource,
        private readonly observer: EndpointObserver,
    ) {}

    /** Every endpoint. */
    get all(): readonly EndpointState[] {
        return this.base.members;
    }

    /** Free slots of all endpoints. */
    get freeSlots(): number {
        return this.base.freeSlots;
    }

    /** The endpoint of a name. */
    find(name: string): EndpointState | undefined {
        return this.states.get(name);
    }

    /**
     * Replaces the endpoints; those with the same name and address keep what is known of them.
     *
     * @param capacity Requests that this entry may run at one of them at once.
     */
    setEndpoints(descriptions: readonly ManifestEndpoint[], capacity: number): void {
        const members = descriptions.map(description => {
            const known = this.states.get(description.name);
            const same = known?.description.address === description.address && known.capacity === capacity;
            return same ? known : this.createState(description, capacity);
        });
        this.states.clear();
        members.forEach(member => this.states.set(member.name, member));
        this.groups.forEach(group => {
            group.setMembers(members);
        });
    }

    /** The endpoints that have what a request needs. */
    groupFor(requirement: EndpointRequirement): EndpointGroup {
        // The model alone asks for nothing: a pool serves one model.
        const asked = requirement.version === undefined && requirement.adapter === undefined;
        const key = asked ? requirementKey(noRequirement) : requirementKey(requirement);
        const known = this.groups.get(key);
        if (known !== undefined) {
            return known;
        }
        const created = new EndpointGroup(requirement);
        created.setMembers(this.base.members);
        this.groups.set(key, created);
        return created;
    }

    /** Records a fault of an endpoint. */
    noteFault(endpoint: EndpointState, fault: HealthFault, now: Milliseconds): void {
        if (endpoint.noteFault(fault, now, this.random.float())) {
            this.observer.setAside(endpoint, fault);
        }
    }

    /** Records the end of a probe of an endpoint that was set aside. */
    noteProbe(endpoint: EndpointState, succeeded: boolean, now: Milliseconds): void {
        endpoint.noteProbe(succeeded, now, this.random.float());
        if (succeeded) {
            this.observer.returned(endpoint);
        }
    }

    /** Sets the number of entries that send requests to each endpoint. */
    shareAmong(sharers: number, now: Milliseconds): void {
        this.all.forEach(endpoint => {
            endpoint.shareAmong(sharers, now);
        });
    }

    /** Brings every endpoint up to date with the time that has passed. */
    refresh(now: Milliseconds): void {
        this.all.forEach(endpoint => {
            endpoint.refresh(now);
        });
    }

    /** Compares the endpoints with each other and sets stragglers aside. */
    review(now: Milliseconds): void {
        const verdict = reviewStragglers(this.all.map(readPace));
        for (const name of verdict.slow) {
            const endpoint = this.states.get(name);
            if (endpoint !== undefined) {
                this.noteFault(endpoint, "slow", now);
            }
        }
        verdict.recovered.forEach(name => {
            this.states.get(name)?.noteNormalPace(now);
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

function readPace(endpoint: EndpointState): PaceReading {
    const { stepTime, stepCount, firstTokenTime, firstTokenCount } = endpoint.pace;
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
