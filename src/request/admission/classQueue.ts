import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import { LinkedList } from "../../util/linkedList.js";
import type { RequestClass } from "../../version/manifest.js";
import type { PendingRequest } from "../pendingRequest.js";
import { ServiceTimes } from "./serviceTimes.js";
import { TeamQueue } from "./teamQueue.js";
import type { QueuedRequest } from "./teamQueue.js";
import type { TeamWeights } from "./teamWeights.js";

/** Maximum number of idle teams that one call of {@link ClassQueue.removeIdleTeams} checks. */
const idleTeamsCheckedPerCall = 64;

/**
 * Queue of the waiting requests of one class, with fair sharing between teams.
 *
 * Each team has a virtual token counter as in "Fairness in Serving Large Language Models" (Sheng et al., OSDI 2024).
 * The team with the smallest counter is served next. When a team becomes active again, its counter is raised to the
 * virtual time of the class, so that being idle gives it no priority. A request is charged its predicted tokens when it
 * starts; the charge is adjusted to the actual tokens when it completes.
 */
export class ClassQueue {
    /** Requests that have not started, in order of arrival. */
    readonly arrivals = new LinkedList<QueuedRequest>();
    /** Requests that can no longer meet their target, in the order in which they were detected. */
    readonly late = new LinkedList<QueuedRequest>();
    /** Preempted requests waiting to resume. */
    readonly preempted = new LinkedList<QueuedRequest>();
    readonly serviceTimes: ServiceTimes;
    /** Virtual token counter of the class: tokens served, divided by the weight. */
    virtualTokens = 0;
    /** Predicted output tokens of the on-time and preempted requests. */
    onTimeOutputTokens = 0;
    /** Sum of the weights of the teams that have on-time requests. */
    activeWeight = 0;

    private readonly teams = new Map<string | undefined, TeamQueue>();
    private readonly teamsByVirtualTokens = new IndexedHeap<TeamQueue>();
    private readonly idleTeams = new Set<TeamQueue>();
    private newestRequestClass: RequestClass | undefined;
    /** Virtual time of the class: the largest counter at which a team was served. */
    private virtualTime = 0;

    /**
     * @param name Name of the class.
     * @param tier Tier of the class.
     * @param weight Relative share of service among the classes of the tier.
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

    /** Number of waiting requests, including preempted ones. */
    get size(): number {
        return this.arrivals.size + this.preempted.size;
    }

    /** Number of requests that can still meet their target or wait to resume. */
    get onTimeSize(): number {
        return this.arrivals.size - this.late.size + this.preempted.size;
    }

    /** Number of teams with stored state. */
    get teamCount(): number {
        return this.teams.size;
    }

    /** Longest admissible wait of the newest request, in milliseconds; infinite before the first one. */
    get admissibleWaitOfNewest(): Milliseconds {
        return this.newestRequestClass === undefined
            ? Infinity
            : this.serviceTimes.admissibleWait(this.newestRequestClass);
    }

    /** Returns the queue of a request's team, with its weight updated to the current configuration. */
    teamQueueOf(request: PendingRequest): TeamQueue {
        const weight = this.weights.weightOf(request.team);
        let teamQueue = this.teams.get(request.team);
        if (teamQueue === undefined) {
            teamQueue = new TeamQueue(request.team, weight, this);
            teamQueue.virtualTokens = this.virtualTime;
            this.teams.set(request.team, teamQueue);
        }
        else if (teamQueue.weight !== weight) {
            this.activeWeight += teamQueue.serviceHeapMember === undefined ? 0 : weight - teamQueue.weight;
            teamQueue.weight = weight;
        }
        return teamQueue;
    }

    /** Adds a request that has not started. */
    append(queued: QueuedRequest): void {
        const teamQueue = queued.teamQueue;
        this.newestRequestClass = queued.request.requestClass;
        queued.arrivalNode = this.arrivals.append(queued);
        queued.teamNode = teamQueue.onTime.append(queued);
        teamQueue.queuedTokens += queued.predictedTokens;
        this.onTimeOutputTokens += queued.predictedOutputTokens;
        this.idleTeams.delete(teamQueue);
        if (teamQueue.serviceHeapMember === undefined) {
            teamQueue.virtualTokens = Math.max(teamQueue.virtualTokens, this.virtualTime);
            teamQueue.serviceHeapMember = this.teamsByVirtualTokens.insert(teamQueue, teamQueue.virtualTokens);
            this.activeWeight += teamQueue.weight;
        }
    }

    /** Adds a preempted request. */
    appendPreempted(queued: QueuedRequest): void {
        queued.teamNode = this.preempted.append(queued);
        this.onTimeOutputTokens += queued.predictedOutputTokens;
    }

    /** Removes a request from all lists. */
    delete(queued: QueuedRequest): void {
        if (queued.preempted) {
            this.onTimeOutputTokens -= queued.predictedOutputTokens;
            deleteNode(this.preempted, queued, "teamNode");
            return;
        }
        if (queued.lateNode === undefined) {
            this.onTimeOutputTokens -= queued.predictedOutputTokens;
        }
        deleteNode(this.arrivals, queued, "arrivalNode");
        deleteNode(this.late, queued, "lateNode");
        deleteNode(queued.teamQueue.onTime, queued, "teamNode");
        deleteNode(queued.teamQueue.late, queued, "teamNode");
        queued.teamQueue.queuedTokens -= queued.predictedTokens;
        this.deactivateIfEmpty(queued.teamQueue);
    }

    /** Returns the next on-time request; moves late requests found before it to the late list. */
    nextOnTime(now: Milliseconds): QueuedRequest | undefined {
        for (;;) {
            const queued = this.teamsByVirtualTokens.first?.value.onTime.first;
            if (queued === undefined || this.canMeetTarget(queued, now)) {
                return queued;
            }
            this.markLate(queued);
        }
    }

    /** Moves the requests at the head of the arrivals that can no longer meet their target to the late list. */
    markLateRequests(now: Milliseconds): void {
        for (const queued of this.arrivals) {
            if (this.canMeetTarget(queued, now)) {
                return;
            }
            if (queued.lateNode === undefined) {
                this.markLate(queued);
            }
        }
    }

    /** Charges a request's predicted tokens to its team and class. */
    charge(queued: QueuedRequest): void {
        this.virtualTime = Math.max(this.virtualTime, queued.teamQueue.virtualTokens);
        this.adjustCounters(queued.teamQueue, queued.predictedTokens);
    }

    /** Adds tokens to the counters of a team and of the class; `tokens` may be negative. */
    adjustCounters(teamQueue: TeamQueue, tokens: number): void {
        teamQueue.virtualTokens += tokens / teamQueue.weight;
        this.virtualTokens += tokens / this.weight;
        if (teamQueue.serviceHeapMember !== undefined) {
            this.teamsByVirtualTokens.update(teamQueue.serviceHeapMember, teamQueue.virtualTokens);
        }
    }

    /** Marks a team, if idle, for removal once the virtual time of the class has reached its counter. */
    markIdle(teamQueue: TeamQueue): void {
        if (teamQueue.isIdle) {
            this.idleTeams.add(teamQueue);
        }
    }

    /**
     * Removes the state of idle teams whose counters do not exceed the virtual time, or of any if no team is active.
     *
     * A removed team restarts at the virtual time, which is also where a team with a smaller counter would restart.
     */
    removeIdleTeams(): void {
        let checked = 0;
        for (const teamQueue of this.idleTeams) {
            if (teamQueue.virtualTokens <= this.virtualTime || this.teamsByVirtualTokens.size === 0) {
                this.idleTeams.delete(teamQueue);
                this.teams.delete(teamQueue.name);
            }
            checked += 1;
            if (checked >= idleTeamsCheckedPerCall) {
                return;
            }
        }
    }

    private canMeetTarget(queued: QueuedRequest, now: Milliseconds): boolean {
        return now - queued.request.arrivedAt <= this.serviceTimes.maximumOnTimeWait(queued.request.requestClass);
    }

    private markLate(queued: QueuedRequest): void {
        deleteNode(queued.teamQueue.onTime, queued, "teamNode");
        queued.teamNode = queued.teamQueue.late.append(queued);
        queued.lateNode = this.late.append(queued);
        this.onTimeOutputTokens -= queued.predictedOutputTokens;
        this.deactivateIfEmpty(queued.teamQueue);
    }

    private deactivateIfEmpty(teamQueue: TeamQueue): void {
        if (teamQueue.onTime.size === 0 && teamQueue.serviceHeapMember !== undefined) {
            this.teamsByVirtualTokens.delete(teamQueue.serviceHeapMember);
            teamQueue.serviceHeapMember = undefined;
            this.activeWeight -= teamQueue.weight;
        }
    }
}

function deleteNode(
    list: LinkedList<QueuedRequest>,
    queued: QueuedRequest,
    nodeField: "arrivalNode" | "teamNode" | "lateNode",
): void {
    const node = queued[nodeField];
    if (node !== undefined && list.delete(node)) {
        queued[nodeField] = undefined;
    }
}
