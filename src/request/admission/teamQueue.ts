import type { Milliseconds } from "../../util/clock.js";
import { ExponentialRateEstimator } from "../../util/exponentialRateEstimator.js";
import type { HeapNode } from "../../util/indexedHeap.js";
import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { ClassQueue } from "./classQueue.js";

/** Averaging time of {@link TeamQueue.startedTokenRate}, in milliseconds. */
const rateAveragingTime: Milliseconds = 5_000;

/** A waiting request with its nodes in the lists that contain it. */
export interface QueuedRequest {
    readonly request: PendingRequest;
    readonly teamQueue: TeamQueue;
    /** Predicted prompt and output tokens. */
    readonly predictedTokens: number;
    /** Predicted output tokens. */
    readonly predictedOutputTokens: number;
    /** Whether it was preempted and is queued to resume; its tokens were charged at the first start. */
    readonly preempted: boolean;
    arrivalNode: ListNode<QueuedRequest> | undefined;
    teamNode: ListNode<QueuedRequest> | undefined;
    lateNode: ListNode<QueuedRequest> | undefined;
}

/** The waiting requests of one team in one class, and the service that the team has received. */
export class TeamQueue {
    /** Requests that can still meet their target, oldest first. */
    readonly onTime = new LinkedList<QueuedRequest>();
    /** Requests that can no longer meet their target, oldest first. */
    readonly late = new LinkedList<QueuedRequest>();
    /** Predicted output tokens per second of the team's started requests. */
    readonly startedTokenRate = new ExponentialRateEstimator(rateAveragingTime);
    /** Virtual token counter of the team: tokens served, divided by the weight. */
    virtualTokens = 0;
    /** Predicted tokens of the waiting requests that have not started. */
    queuedTokens = 0;
    /** Number of requests that run or wait to resume. */
    activeRequests = 0;
    /** Member of the class's heap of teams that have on-time requests. */
    serviceHeapMember: HeapNode<TeamQueue> | undefined;
    /** Member of the tier's heap of teams that have sheddable requests. */
    sheddingHeapMember: HeapNode<TeamQueue> | undefined;

    /**
     * @param name Name of the team; undefined for requests without one.
     * @param weight Relative share of service among the teams of the class; it changes with the configuration.
     * @param classQueue Queue of the class that the team queue belongs to.
     */
    constructor(readonly name: string | undefined, public weight: number, readonly classQueue: ClassQueue) {}

    /** Number of waiting requests that have not started. */
    get size(): number {
        return this.onTime.size + this.late.size;
    }

    /** The newest on-time request, else the newest late one. */
    get newest(): QueuedRequest | undefined {
        return this.onTime.last ?? this.late.last;
    }

    /** Whether no request of the team waits or runs. */
    get isIdle(): boolean {
        return this.size === 0 && this.activeRequests === 0;
    }
}
