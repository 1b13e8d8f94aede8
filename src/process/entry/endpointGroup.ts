import type { EndpointRequirement, EndpointState } from "./endpointState.js";

/** What was counted of a member when it last changed. */
interface Counted {
    free: number;
    running: number;
    maximum: number;
    /** Index among the available endpoints, or -1. */
    position: number;
}

/**
 * The endpoints of a pool that have what a request needs, with those that have a free slot in an array of their own.
 *
 * Each change of an endpoint takes constant time, so that a choice need not look at all of them.
 */
export class EndpointGroup {
    private readonly free: EndpointState[] = [];
    private readonly counted = new Map<EndpointState, Counted>();
    private all: readonly EndpointState[] = [];
    private freeTotal = 0;
    private runningTotal = 0;
    private maximumTotal = 0;
    private memberVersion = 0;

    /** @param requirement What its endpoints must have. */
    constructor(private readonly requirement: EndpointRequirement) {}

    /** Every endpoint of the pool, whether usable or not. */
    get members(): readonly EndpointState[] {
        return this.all;
    }

    /** Rises with each replacement of the members. */
    get membersVersion(): number {
        return this.memberVersion;
    }

    /** The endpoints with a free slot, in no particular order. */
    get available(): readonly EndpointState[] {
        return this.free;
    }

    /** Free slots of all endpoints. */
    get freeSlots(): number {
        return this.freeTotal;
    }

    /** Estimated share of all slots that are taken. */
    get meanLoad(): number {
        return this.maximumTotal === 0 ? 0 : this.runningTotal / this.maximumTotal;
    }

    /** Whether an endpoint is a member with a free slot. */
    isAvailable(endpoint: EndpointState): boolean {
        return (this.counted.get(endpoint)?.position ?? -1) >= 0;
    }

    /** Replaces the members. */
    setMembers(members: readonly EndpointState[]): void {
        this.all = members;
        this.memberVersion++;
        const kept = new Set(members);
        for (const endpoint of this.counted.keys()) {
            if (!kept.has(endpoint)) {
                this.count(endpoint, 0, 0, 0);
                this.counted.delete(endpoint);
            }
        }
        for (const endpoint of members) {
            if (!this.counted.has(endpoint)) {
                this.counted.set(endpoint, { free: 0, running: 0, maximum: 0, position: -1 });
            }
            this.update(endpoint);
        }
    }

    /** Takes a change of an endpoint into account; one that is no member is ignored. */
    update(endpoint: EndpointState): void {
        if (!this.counted.has(endpoint)) {
            return;
        }
        const suits = endpoint.suits(this.requirement) && !endpoint.leaving && !endpoint.health.isSetAside;
        if (!suits) {
            this.count(endpoint, 0, 0, 0);
            return;
        }
        this.count(endpoint, endpoint.freeSlots, endpoint.estimatedRunning, endpoint.maximumRunning);
    }

    private count(endpoint: EndpointState, free: number, running: number, maximum: number): void {
        const counted = this.counted.get(endpoint);
        if (counted === undefined) {
            return;
        }
        this.freeTotal += free - counted.free;
        this.runningTotal += running - counted.running;
        this.maximumTotal += maximum - counted.maximum;
        counted.free = free;
        counted.running = running;
        counted.maximum = maximum;
        if (free > 0 && counted.position < 0) {
            counted.position = this.free.push(endpoint) - 1;
        }
        else if (free === 0 && counted.position >= 0) {
            this.removeAt(counted);
        }
    }

    /** Fills the gap with the last element. */
    private removeAt(counted: Counted): void {
        const last = this.free.pop();
        const lastCounted = last === undefined ? undefined : this.counted.get(last);
        if (last !== undefined && lastCounted !== undefined && lastCounted !== counted) {
            this.free[counted.position] = last;
            lastCounted.position = counted.position;
        }
        counted.position = -1;
    }
}
