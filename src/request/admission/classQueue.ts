import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import { LinkedList } from "../../util/linkedList.js";
import type { RequestClass } from "../../version/manifest.js";
import type { PendingRequest } from "../pendingRequest.js";
import { ServiceTimes } from "./serviceTimes.js";
import { TeamShare } from "./teamQueue.js";
import type { QueuedRequest } from "./teamQueue.js";
import type { TeamWeights } from "./teamWeights.js";

/** Idle teams that one call of {@link ClassQueue.forgetIdleTeams} looks at. */
const idleTeamsPerCall = 64;

/**
 * The waiting requests of one class, shared fairly between its teams.
 *
 * Each team has a virtual token counter as in "Fairness in Serving Large Language Models" (Sheng et al., OSDI 2024):
 * the team with the smallest counter goes next; a team that returns after a pause starts at the virtual time of the
 * class, so that it cannot save up service. The predicted cost is charged at the start and corrected at the end.
 */
export class ClassQueue {
    /** Requests not begun, in the order of arrival. */
    readonly arrivals = new LinkedList<QueuedRequest>();
    /** Requests that can no longer meet their target, in the order in which that was found. */
    readonly late = new LinkedList<QueuedRequest>();
    /** Preempted requests that wait to be resumed. */
    readonly resumed = new LinkedList<QueuedRequest>();
    readonly serviceTimes: ServiceTimes;
    /** Tokens served so far, divided by the weight. */
    counter = 0;
    /** Predicted output tokens of punctual and resumed requests. */
    punctualOutput = 0;
    /** Sum of the weights of the teams that have punctual requests. */
    activeWeight = 0;

    private readonly teams = new Map<string | undefined, TeamShare>();
    private readonly order = new IndexedHeap<TeamShare>();
    private readonly idleTeams = new Set<TeamShare>();
    private latestClass: RequestClass | undefined;
    private virtualTime = 0;

    /**
     * @param name Name of the class.
     * @param tier Tier of the class.
     * @param weight Share of service among the classes of the tier.
     * @param weights Weights of the teams.
     */
    constructor(
        readonly name: string,
        readonly tier: number,
        readonly weight: number,
        private readonly weights: TeamWeights,
    ) {
        this.serviceTimes = new ServiceTimes();
    }

    /** Number of waiting requests, resumed ones among them. */
    get size(): number {
        return this.arrivals.size + this.resumed.size;
    }

    /** Number of requests that can still meet their target or that wait to be resumed. */
    get punctualSize(): number {
        return this.arrivals.size - this.late.size + this.resumed.size;
    }

    /** Teams that are remembered. */
    get teamCount(): number {
        return this.teams.size;
    }

    /** The longest wait with which the latest request of the class could be admitted. */
    get shortestAdmissibleWait(): Milliseconds {
        return this.latestClass === undefined ? Infinity : this.serviceTimes.admissibleWait(this.latestClass);
    }

    /** The share of a request's team, with the weight of the configuration in force. */
    shareOf(request: PendingRequest): TeamShare {
        const weight = this.weights.weightOf(request.team);
        let share = this.teams.get(request.team);
        if (share === undefined) {
            share = new TeamShare(request.team, weight, this);
            share.counter = this.virtualTime;
            this.teams.set(request.team, share);
        }
        else if (share.weight !== weight) {
            this.activeWeight += share.orderMember === undefined ? 0 : weight - share.weight;
            share.weight = weight;
        }
        return share;
    }

    /** Adds a request that was not begun. */
    append(queued: QueuedRequest): void {
        const share = queued.share;
        this.latestClass = queued.request.requestClass;
        queued.arrivalNode = this.arrivals.append(queued);
        queued.teamNode = share.punctual.append(queued);
        share.queuedCost += queued.cost;
        this.punctualOutput += queued.output;
        this.idleTeams.delete(share);
        if (share.orderMember === undefined) {
            share.counter = Math.max(share.counter, this.virtualTime);
            share.orderMember = this.order.insert(share, share.counter);
            this.activeWeight += share.weight;
        }
    }

    /** Adds a preempted request. */
    appendResumed(queued: QueuedRequest): void {
        queued.teamNode = this.resumed.append(queued);
        this.punctualOutput += queued.output;
    }

    /** Takes a request out of every list. */
    delete(queued: QueuedRequest): void {
        if (queued.resumed) {
            this.punctualOutput -= queued.output;
            deleteNode(this.resumed, queued, "teamNode");
            return;
        }
        if (queued.lateNode === undefined) {
            this.punctualOutput -= queued.output;
        }
        deleteNode(this.arrivals, queued, "arrivalNode");
        deleteNode(this.late, queued, "lateNode");
        deleteNode(queued.share.punctual, queued, "teamNode");
        deleteNode(queued.share.late, queued, "teamNode");
        queued.share.queuedCost -= queued.cost;
        this.leaveOrderWhenEmpty(queued.share);
    }

    /** The punctual request that goes next; what is found late on the way is set aside. */
    nextPunctual(now: Milliseconds): QueuedRequest | undefined {
        for (;;) {
            const queued = this.order.first?.value.punctual.first;
            if (queued === undefined || this.isPunctual(queued, now)) {
                return queued;
            }
            this.setAside(queued);
        }
    }

    /** Sets aside every request at the front of the arrivals that can no longer meet its target. */
    setAsideLate(now: Milliseconds): void {
        for (const queued of this.arrivals) {
            if (this.isPunctual(queued, now)) {
                return;
            }
            if (queued.lateNode === undefined) {
                this.setAside(queued);
            }
        }
    }

    /** Charges a request's predicted cost to its team and class. */
    charge(queued: QueuedRequest): void {
        this.virtualTime = Math.max(this.virtualTime, queued.share.counter);
        this.correct(queued.share, queued.cost);
    }

    /** Adds tokens to the counters of a team and of the class; the number may be negative. */
    correct(share: TeamShare, tokens: number): void {
        share.counter += tokens / share.weight;
        this.counter += tokens / this.weight;
        if (share.orderMember !== undefined) {
            this.order.update(share.orderMember, share.counter);
        }
    }

    /** Remembers that a team may be forgotten once the others have caught up with it. */
    noteIdle(share: TeamShare): void {
        if (share.idle) {
            this.idleTeams.add(share);
        }
    }

    /** Forgets idle teams that have no debt of service; the next request starts them where they would stand. */
    forgetIdleTeams(): void {
        let looked = 0;
        for (const share of this.idleTeams) {
            if (share.counter <= this.virtualTime || this.order.size === 0) {
                this.idleTeams.delete(share);
                this.teams.delete(share.name);
            }
            looked += 1;
            if (looked >= idleTeamsPerCall) {
                return;
            }
        }
    }

    private isPunctual(queued: QueuedRequest, now: Milliseconds): boolean {
        return now - queued.request.arrivedAt <= this.serviceTimes.latestStart(queued.request.requestClass);
    }

    private setAside(queued: QueuedRequest): void {
        deleteNode(queued.share.punctual, queued, "teamNode");
        queued.teamNode = queued.share.late.append(queued);
        queued.lateNode = this.late.append(queued);
        this.punctualOutput -= queued.output;
        this.leaveOrderWhenEmpty(queued.share);
    }

    private leaveOrderWhenEmpty(share: TeamShare): void {
        if (share.punctual.size === 0 && share.orderMember !== undefined) {
            this.order.delete(share.orderMember);
            share.orderMember = undefined;
            this.activeWeight -= share.weight;
        }
    }
}

function deleteNode(
    list: LinkedList<QueuedRequest>,
    queued: QueuedRequest,
    place: "arrivalNode" | "teamNode" | "lateNode",
): void {
    const node = queued[place];
    if (node !== undefined && list.delete(node)) {
        queued[place] = undefined;
    }
}
