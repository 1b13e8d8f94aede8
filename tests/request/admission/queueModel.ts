import type { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import type { PoolCapacity, Refusal } from "../../../src/request/admissionQueue.js";
import type { PendingRequest } from "../../../src/request/pendingRequest.js";
import type { ResultCode } from "../../../src/resultCode/resultCode.js";

/** One step of a random history. */
export type Step =
    | { readonly kind: "offer"; readonly tier: number; readonly team: number; readonly preemptible: boolean; }
    | { readonly kind: "take" | "complete" | "abandon" | "remove" | "preempt" | "sweep"; }
    | { readonly kind: "withdraw"; readonly team: number; }
    | { readonly kind: "pass"; readonly time: number; };

type State = "waiting" | "resumable" | "running" | "ended" | "refused";

/** Follows what became of every request of a queue, as its callers see it. */
export class QueueModel {
    readonly states = new Map<PendingRequest, State>();
    readonly violations: string[] = [];
    /** Running requests that the floor started before waiting ones of a higher tier; they may not be preempted. */
    private readonly startedByFloor = new Set<PendingRequest>();
    private mostRunning = 0;

    /**
     * @param queue The queue under test.
     * @param maximumLength Its length.
     */
    constructor(private readonly queue: TieredQueue, private readonly maximumLength: number) {}

    /** The requests in a state. */
    in(...states: readonly State[]): readonly PendingRequest[] {
        return [...this.states].flatMap(([request, state]) => states.includes(state) ? [request] : []);
    }

    /** Offers a request and checks whatever is refused for it. */
    offer(request: PendingRequest, capacity: PoolCapacity, now: number): void {
        this.states.set(request, "waiting");
        this.refuse(this.queue.offer(request, capacity, now));
    }

    /** Records refusals; each must be of a waiting request, and shedding must have nothing below it. */
    refuse(refusals: readonly Refusal[]): void {
        for (const { request, code } of refusals) {
            const expected: State = code === "keyWithdrawnWhileRunning" ? "resumable" : "waiting";
            if (this.states.get(request) !== expected) {
                this.violations.push(`${request.id} was refused with ${code} while ${this.states.get(request)}`);
            }
            this.states.set(request, "refused");
            if (code === "shedUnderLoad" || code === "targetUnreachable") {
                this.checkNothingBelow(request, code);
            }
        }
    }

    /** Takes the next request. */
    take(capacity: PoolCapacity, now: number): void {
        const request = this.queue.take(capacity, now);
        if (request === undefined) {
            if (this.in("waiting", "resumable").length > 0) {
                this.violations.push("nothing was taken though requests wait");
            }
            return;
        }
        if (!["waiting", "resumable"].includes(this.states.get(request) ?? "")) {
            this.violations.push(`${request.id} was taken while ${this.states.get(request)}`);
        }
        this.states.set(request, "running");
        this.noteFloor(request);
        this.mostRunning = Math.max(this.mostRunning, this.in("running").length);
    }

    /** Preempts what the queue chooses and gives it back. */
    preempt(capacity: PoolCapacity, now: number): void {
        for (const { request, forTier } of this.queue.choosePreemptions(capacity, now)) {
            const { tier, preemptible } = request.requestClass;
            if (this.startedByFloor.has(request)) {
                this.violations.push(`${request.id} was preempted though the floor had started it`);
            }
            if (this.states.get(request) !== "running" || tier <= forTier || !preemptible) {
                this.violations.push(`${request.id} of tier ${tier} was preempted for tier ${forTier}`);
            }
            if (this.in("waiting").every(each => each.requestClass.tier !== forTier)) {
                this.violations.push(`${request.id} was preempted for no request`);
            }
            this.queue.requeue(request, now);
            this.states.set(request, "resumable");
        }
    }

    /** Whether the queue counts the same waiting requests as the model. */
    get agrees(): boolean {
        return this.queue.length === this.in("waiting", "resumable").length;
    }

    private noteFloor(taken: PendingRequest): void {
        const passedOver = this.in("waiting", "resumable").some(each =>
            each.requestClass.tier < taken.requestClass.tier
        );
        if (passedOver) {
            this.startedByFloor.add(taken);
        }
        else {
            this.startedByFloor.delete(taken);
        }
    }

    /**
     * Whatever is refused under load must have nothing preemptible below it, and what is shed for want of room nothing
     * that waits either. Early refusals are checked against a queue without lower tiers elsewhere.
     */
    private checkNothingBelow(shed: PendingRequest, code: ResultCode): void {
        const isBelow = (each: PendingRequest): boolean => each.requestClass.tier > shed.requestClass.tier;
        if (code === "shedUnderLoad" && this.in("waiting").some(isBelow)) {
            this.violations.push(`${shed.id} was shed while a lower tier waits`);
        }
        const spared = this.in("running").filter(each => {
            return isBelow(each) && each.requestClass.preemptible && !this.startedByFloor.has(each);
        });
        if (spared.length > this.queue.heldLength) {
            this.violations.push(`${shed.id} was shed while ${spared.length} of a lower tier run preemptibly`);
        }
        if (this.in("waiting").length > this.maximumLength + this.mostRunning + 1) {
            this.violations.push("the queue grew beyond its bound");
        }
    }
}
