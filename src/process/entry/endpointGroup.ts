import type { EndpointRequirement, EndpointState } from "./endpointState.js";

/** Slot counts of a member at its last update, as included in the totals of the group. */
interface CountedSlots {
    free: number;
    running: number;
    maximum: number;
    /** Index in the array of available endpoints, or -1. */
    availableIndex: number;
}

/**
 * The endpoints of a pool, with an index of those that satisfy a requirement and have a free slot.
 *
 * An endpoint is usable if it satisfies the requirement and is neither leaving nor set aside.
 *
 * The index is updated in constant time after each change of an endpoint, so that no choice has to scan the whole pool.
 */
export class EndpointGroup {
    private readonly availableEndpoints: EndpointState[] = [];
    private readonly countedSlots = new Map<EndpointState, CountedSlots>();
    private allMembers: readonly EndpointState[] = [];
    private totalFreeSlots = 0;
    private totalRunning = 0;
    private totalMaximumRunning = 0;
    private currentMembersVersion = 0;

    /** @param requirement What an endpoint must provide to count as available. */
    constructor(private readonly requirement: EndpointRequirement) {}

    /** All endpoints of the pool, including those that are unusable or do not satisfy the requirement. */
    get members(): readonly EndpointState[] {
        return this.allMembers;
    }

    /** Increases each time the members are replaced. */
    get membersVersion(): number {
        return this.currentMembersVersion;
    }

    /** Usable endpoints with a free slot, in no particular order. */
    get available(): readonly EndpointState[] {
        return this.availableEndpoints;
    }

    /** Total free slots of the usable endpoints. */
    get freeSlots(): number {
        return this.totalFreeSlots;
    }

    /** Estimated fraction of the usable endpoints' slots that are occupied; 0 without usable endpoints. */
    get meanLoad(): number {
        return this.totalMaximumRunning === 0 ? 0 : this.totalRunning / this.totalMaximumRunning;
    }

    /** Whether an endpoint is a usable member with a free slot. */
    isAvailable(endpoint: EndpointState): boolean {
        return (this.countedSlots.get(endpoint)?.availableIndex ?? -1) >= 0;
    }

    setMembers(members: readonly EndpointState[]): void {
        this.allMembers = members;
        this.currentMembersVersion++;
        const kept = new Set(members);
        for (const endpoint of this.countedSlots.keys()) {
            if (!kept.has(endpoint)) {
                this.setCounts(endpoint, 0, 0, 0);
                this.countedSlots.delete(endpoint);
            }
        }
        for (const endpoint of members) {
            if (!this.countedSlots.has(endpoint)) {
                this.countedSlots.set(endpoint, { free: 0, running: 0, maximum: 0, availableIndex: -1 });
            }
            this.update(endpoint);
        }
    }

    /** Updates the index after a change of an endpoint; does nothing for one that is not a member. */
    update(endpoint: EndpointState): void {
        if (!this.countedSlots.has(endpoint)) {
            return;
        }
        const isUsable = endpoint.satisfies(this.requirement) && !endpoint.leaving && !endpoint.health.isSetAside;
        if (!isUsable) {
            this.setCounts(endpoint, 0, 0, 0);
            return;
        }
        this.setCounts(endpoint, endpoint.freeSlots, endpoint.estimatedRunning, endpoint.maximumRunning);
    }

    private setCounts(endpoint: EndpointState, free: number, running: number, maximum: number): void {
        const counted = this.countedSlots.get(endpoint);
        if (counted === undefined) {
            return;
        }
        this.totalFreeSlots += free - counted.free;
        this.totalRunning += running - counted.running;
        this.totalMaximumRunning += maximum - counted.maximum;
        counted.free = free;
        counted.running = running;
        counted.maximum = maximum;
        if (free > 0 && counted.availableIndex < 0) {
            counted.availableIndex = this.availableEndpoints.push(endpoint) - 1;
        }
        else if (free === 0 && counted.availableIndex >= 0) {
            this.removeFromAvailable(counted);
        }
    }

    /** Removes an endpoint from the available ones by moving the last element into its place. */
    private removeFromAvailable(counted: CountedSlots): void {
        const last = this.availableEndpoints.pop();
        const lastCounted = last === undefined ? undefined : this.countedSlots.get(last);
        if (last !== undefined && lastCounted !== undefined && lastCounted !== counted) {
            this.availableEndpoints[counted.availableIndex] = last;
            lastCounted.availableIndex = counted.availableIndex;
        }
        counted.availableIndex = -1;
    }
}
