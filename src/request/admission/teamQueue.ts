import type { Milliseconds } from "../../util/clock.js";
import { DecayingRate } from "../../util/decayingRate.js";
import type { HeapMember } from "../../util/indexedHeap.js";
import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { ClassQueue } from "./classQueue.js";

/** Time over which the service of a team is averaged, in milliseconds. */
const servedAveraging: Milliseconds = 5_000;

/** A waiting request and its places in the lists that hold it. */
export interface QueuedRequest {
    readonly request: PendingRequest;
    readonly share: TeamShare;
    /** Predicted prompt and output tokens. */
    readonly cost: number;
    /** Predicted output tokens. */
    readonly output: number;
    /** Whether it was preempted and waits to be resumed; it was charged for already. */
    readonly resumed: boolean;
    arrivalNode: ListNode<QueuedRequest> | undefined;
    teamNode: ListNode<QueuedRequest> | undefined;
    lateNode: ListNode<QueuedRequest> | undefined;
}

/** The waiting requests of one team in one class, and the service that the team has had. */
export class TeamShare {
    /** Requests that can still meet their target, oldest first. */
    readonly punctual = new LinkedList<QueuedRequest>();
    /** Requests that can no longer meet their target, oldest first. */
    readonly late = new LinkedList<QueuedRequest>();
    /** Predicted output tokens a second that were started. */
    readonly served = new DecayingRate(servedAveraging);
    /** Tokens served so far, divided by the weight: the team's virtual token counter. */
    counter = 0;
    /** Predicted tokens of all waiting requests that were not begun. */
    queuedCost = 0;
    /** Requests that run now or wait to be resumed. */
    unfinished = 0;
    /** Place among the teams of the class that have punctual requests. */
    orderMember: HeapMember<TeamShare> | undefined;
    /** Place among the teams of the tier that have waiting requests, the heaviest first. */
    victimMember: HeapMember<TeamShare> | undefined;

    /**
     * @param name Name of the team; undefined for requests without one.
     * @param weight Share of service among the teams of the class; it changes with the configuration.
     * @param owner The class that holds it.
     */
    constructor(readonly name: string | undefined, public weight: number, readonly owner: ClassQueue) {}

    /** Number of waiting requests that were not begun. */
    get size(): number {
        return this.punctual.size + this.late.size;
    }

    /** The request that arrived last. */
    get youngest(): QueuedRequest | undefined {
        return this.punctual.last ?? this.late.last;
    }

    /** Whether nothing of the team waits or runs. */
    get idle(): boolean {
        return this.size === 0 && this.unfinished === 0;
    }
}
