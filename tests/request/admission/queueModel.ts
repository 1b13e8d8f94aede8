import type { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import type { PoolCapacity, Refusal } from "../../../src/request/admissionQueue.js";
import type { PendingRequest } from "../../../src/request/pendingRequest.js";
import type { ResultCode } from "../../../src/resultCode/resultCode.js";

/** One step of a generated sequence of operations. */
export type Step =
    | { readonly kind: "offer"; readonly tier: number; readonly team: number; readonly preemptible: boolean; }
    | { readonly kind: "take" | "complete" | "abandon" | "remove" | "preempt" | "sweep"; }
    | { readonly kind: "withdraw"; readonly team: number; }
    /** Lets time pass, in milliseconds. */
    | { readonly kind: "pass"; readonly time: number; };

type State = "waiting" | "resumable" | "running" | "ended" | "refused";

/** Reference model that tracks the state of each request of a queue, as observed by its caller. */
export class QueueModel {
    readonly states = new Map<PendingRequest, State>();
    readonly violations: string[] = [];
    /** Running requests that the service floor started ahead of higher tiers; they must not be preempted. */
    private readonly startedByFloor = new Set<PendingRequest>();
    private maximumRunning = 0;

    /**
     * @param queue The queue under test.
     * @param maximumLength Maximum length of the queue.
     */
    constructor(private readonly queue: TieredQueue, private readonly maximumLength: number) {}

    /** Returns the requests in any of the given states. */
    requestsIn(...states: readonly State[]): readonly PendingRequest[] {
        return [...this.states].flatMap(([request, state]) => states.includes(state) ? [request] : []);
    }

    /** Offers a request and checks the resulting refusals. */
    offer(request: PendingRequest, capacity: PoolCapacity, now: number): void {
        this.states.set(request, "waiting");
        this.refuse(this.queue.offer(request, capacity, now));
    }

    /** Records refusals; each must be of a waiting request, and none may be shed while lower tiers could be. */
    refuse(refusals: readonly Refusal[]): void {
        for (const { request, code } of refusals) {
            const expected: State = code === "keyWithdrawnWhileRunning" ? "resumable" : "waiting";
            if (this.states.get(request) !== expected) {
                this.violations.push(`${request.id} was refused with ${code} in state ${this.states.get(request)}`);
            }
            this.states.set(request, "refused");
            if (code === "shedUnderLoad" || code === "targetUnreachable") {
                this.checkSheddingOrder(request, code);
            }
        }
    }

    /** Takes the next request and checks its state. */
    take(capacity: PoolCapacity, now: number): void {
        const request = this.queue.take(capacity, now);
        if (request === undefined) {
            if (this.requestsIn("waiting", "resumable").length > 0) {
                this.violations.push("no request was taken although requests are waiting");
            }
            return;
        }
        if (!["waiting", "resumable"].includes(this.states.get(request) ?? "")) {
            this.violations.push(`${request.id} was taken in state ${this.states.get(request)}`);
        }
        this.states.set(request, "running");
        this.recordFloorStart(request);
        this.maximumRunning = Math.max(this.maximumRunning, this.requestsIn("running").length);
    }

    /** Preempts the requests that the queue selects, checks them and requeues them. */
    preempt(capacity: PoolCapacity, now: number): void {
        for (const { request, forTier } of this.queue.choosePreemptions(capacity, now)) {
            const { tier, preemptible } = request.requestClass;
            if (this.startedByFloor.has(request)) {
                this.violations.push(`${request.id} was preempted although the service floor had started it`);
            }
            if (this.states.get(request) !== "running" || tier <= forTier || !preemptible) {
                this.violations.push(`${request.id} of tier ${tier} was preempted for tier ${forTier}`);
            }
            if (this.requestsIn("waiting").every(other => other.requestClass.tier !== forTier)) {
                this.violations.push(`${request.id} was preempted for a tier without waiting requests`);
            }
            this.queue.requeue(request, now);
            this.states.set(request, "resumable");
        }
    }

    /** Whether the queue has as many waiting requests as the model. */
    get matchesQueueLength(): boolean {
        return this.queue.length === this.requestsIn("waiting", "resumable").length;
    }

    private recordFloorStart(taken: PendingRequest): void {
        const passedOver = this.requestsIn("waiting", "resumable").some(other =>
            other.requestClass.tier < taken.requestClass.tier
        );
        if (passedOver) {
            this.startedByFloor.add(taken);
        }
        else {
            this.startedByFloor.delete(taken);
        }
    }

    /**
     * Checks that no request is refused under load while a lower tier has preemptible running requests, and that none
     * is shed for queue length while a lower tier has waiting ones.
     *
     * The model has no other entries, so that no lower tiers can run there.
     */
    private checkSheddingOrder(shed: PendingRequest, code: ResultCode): void {
        const isBelow = (other: PendingRequest): boolean => other.requestClass.tier > shed.requestClass.tier;
        if (code === "shedUnderLoad" && this.requestsIn("waiting").some(isBelow)) {
            this.violations.push(`${shed.id} was shed while a lower tier has waiting requests`);
        }
        const preemptible = this.requestsIn("running").filter(other => {
            return isBelow(other) && other.requestClass.preemptible && !this.startedByFloor.has(other);
        });
        if (preemptible.length > this.queue.deferredCount) {
            this.violations.push(
                `${shed.id} was shed while ${preemptible.length} preemptible requests of lower tiers run`,
            );
        }
        if (this.requestsIn("waiting").length > this.maximumLength + this.maximumRunning + 1) {
            this.violations.push("the queue exceeded its length bound");
        }
    }
}
