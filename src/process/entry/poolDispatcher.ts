import type { PoolSummary } from "../../request/admission/poolSummary.js";
import type { AdmissionQueue, PoolCapacity, Refusal, RequestUsage } from "../../request/admissionQueue.js";
import type { EndpointChooser } from "../../request/endpointChooser.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { EndpointState } from "./endpointState.js";
import type { EndpointTable } from "./endpointTable.js";
import { ServiceRate } from "./serviceRate.js";

/** Maximum number of requests that were taken from the queue and wait for an endpoint with what they require. */
const maximumBlockedRequests = 64;

/** Maximum wait of a request that must be dispatched again, in milliseconds. */
const maximumResumeWait: Milliseconds = 60_000;

/** Time after which callers may retry if the pool has no endpoints, in milliseconds. */
const noEndpointsRetryAfter: Milliseconds = 5_000;

/** A slot at an endpoint that is assigned to a request until it is released. */
export interface Placement {
    readonly request: PendingRequest;
    readonly endpoint: EndpointState;
    readonly startedAt: Milliseconds;
    /** Aborts when the slot is needed for a request of a higher tier. */
    readonly preempted: AbortSignal;
}

/** Why a request was not dispatched. */
export interface DispatchRefusal {
    readonly failure: Failure;
    /** Time after which the caller may retry, in milliseconds from now; undefined if waiting does not help. */
    readonly retryAfter: Milliseconds | undefined;
}

/** Dependencies of {@link PoolDispatcher}. */
export interface PoolDispatcherOptions {
    readonly queue: AdmissionQueue;
    readonly chooser: EndpointChooser;
    readonly table: EndpointTable;
    readonly clock: Clock;
    /** Whether the entry is permitted to serve now; nothing is dispatched otherwise. */
    readonly canServe: (now: Milliseconds) => boolean;
    /** Called for each running request that is preempted in favour of a tier. */
    readonly onPreemption?: (request: PendingRequest, forTier: number) => void;
}

interface Waiter {
    readonly request: PendingRequest;
    readonly resolve: (result: Result<Placement, DispatchRefusal>) => void;
    /** Whether the request was dispatched before and continues. */
    readonly resumed: boolean;
    readonly deadline: Milliseconds;
}

/** Dispatches the waiting requests of one pool to endpoints with free slots. */
export class PoolDispatcher {
    /** The pool's endpoints. */
    readonly table: EndpointTable;
    private readonly queue: AdmissionQueue;
    private readonly chooser: EndpointChooser;
    private readonly clock: Clock;
    private readonly waiters = new Map<string, Waiter>();
    private readonly preemptionControllers = new Map<string, AbortController>();
    private readonly serviceRate = new ServiceRate();
    /**
     * Requests taken from the queue while no endpoint that satisfies their requirement had a free slot, highest tier
     * first; they do not block requests with other requirements.
     */
    private blockedRequests: readonly PendingRequest[] = [];

    constructor(private readonly options: PoolDispatcherOptions) {
        this.queue = options.queue;
        this.chooser = options.chooser;
        this.table = options.table;
        this.clock = options.clock;
    }

    /** Number of waiting requests. */
    get waiting(): number {
        return this.queue.length + this.blockedRequests.length;
    }

    /** Number of running requests. */
    get running(): number {
        return this.preemptionControllers.size;
    }

    /** Waits for a slot at an endpoint; resolves with a refusal if the queue sheds the request or the signal aborts. */
    acquire(request: PendingRequest, abortSignal: AbortSignal): Promise<Result<Placement, DispatchRefusal>> {
        const now = this.clock.now();
        if (this.table.all.length === 0) {
            const refusal = { failure: createNoEndpointFailure(request), retryAfter: noEndpointsRetryAfter };
            return Promise.resolve(Err(refusal));
        }
        const placed = this.addWaiter(request, abortSignal, false, now);
        if (!abortSignal.aborted) {
            this.settleRefusals(this.queue.offer(request, this.capacity(), now));
            this.dispatchWaiting(now);
        }
        return placed;
    }

    /**
     * Releases a slot and waits for another one, so that the request can continue.
     *
     * The queue cannot shed the request, but it is refused after {@link maximumResumeWait} without an endpoint.
     */
    reacquire(placement: Placement, abortSignal: AbortSignal): Promise<Result<Placement, DispatchRefusal>> {
        const now = this.clock.now();
        const placed = this.addWaiter(placement.request, abortSignal, true, now);
        this.releaseSlot(placement, now);
        if (abortSignal.aborted) {
            this.queue.abandon(placement.request, now);
        }
        else {
            this.queue.requeue(placement.request, now);
        }
        this.dispatchWaiting(now);
        return placed;
    }

    /** Releases the slot of a completed request and records its usage. */
    release(placement: Placement, usage: RequestUsage): void {
        const now = this.clock.now();
        this.releaseSlot(placement, now);
        this.queue.complete(placement.request, usage, now);
        this.serviceRate.observe(usage.serviceTime, usage.outputTokens);
        this.dispatchWaiting(now);
    }

    /** Releases the slot of a request that ended without usage. */
    abandon(placement: Placement): void {
        const now = this.clock.now();
        this.releaseSlot(placement, now);
        this.queue.abandon(placement.request, now);
        this.dispatchWaiting(now);
    }

    /** Performs the periodic work: refuses overdue requests, preempts running ones and dispatches waiting ones. */
    sweep(now: Milliseconds): void {
        this.table.refresh(now);
        this.settleRefusals(this.queue.sweep(this.capacity(), now));
        this.refuseExpired(now);
        this.preempt(now);
        this.dispatchWaiting(now);
    }

    /** Refuses all waiting requests whose key is no longer known. */
    refuseWithdrawnKeys(isValidDigest: (keyDigest: string) => boolean): void {
        for (const { request, resumed } of [...this.waiters.values()]) {
            if (request.keyDigest !== undefined && !isValidDigest(request.keyDigest)) {
                this.refuseWaiting(request, failure(resumed ? "keyWithdrawnWhileRunning" : "keyWithdrawn"));
            }
        }
    }

    /** Dispatches as many waiting requests as possible; called after each change of the endpoints. */
    dispatchWaiting(now: Milliseconds): void {
        if (!this.options.canServe(now)) {
            return;
        }
        this.placeBlocked(now);
        while (
            this.queue.length > 0 && this.table.freeSlots > 0 && this.blockedRequests.length < maximumBlockedRequests
        ) {
            const request = this.queue.take(this.capacity(), now);
            if (request === undefined) {
                return;
            }
            if (!this.place(request, now)) {
                this.addBlocked(request);
            }
        }
    }

    private addWaiter(
        request: PendingRequest,
        abortSignal: AbortSignal,
        resumed: boolean,
        now: Milliseconds,
    ): Promise<Result<Placement, DispatchRefusal>> {
        return new Promise(resolve => {
            const onAbort = (): void => {
                this.refuseWaiting(request, failure("callerLeft"));
            };
            this.waiters.set(request.id, {
                request,
                resumed,
                deadline: resumed ? now + maximumResumeWait : Infinity,
                resolve: result => {
                    abortSignal.removeEventListener("abort", onAbort);
                    resolve(result);
                },
            });
            if (abortSignal.aborted) {
                onAbort();
                return;
            }
            abortSignal.addEventListener("abort", onAbort, { once: true });
        });
    }

    private releaseSlot({ request, endpoint }: Placement, now: Milliseconds): void {
        this.preemptionControllers.delete(request.id);
        endpoint.finish(now);
    }

    private placeBlocked(now: Milliseconds): void {
        if (this.blockedRequests.length > 0 && this.table.freeSlots > 0) {
            this.blockedRequests = this.blockedRequests.filter(request => !this.place(request, now));
        }
    }

    private addBlocked(request: PendingRequest): void {
        const tier = request.requestClass.tier;
        const index = this.blockedRequests.findIndex(other => other.requestClass.tier > tier);
        this.blockedRequests = this.blockedRequests.toSpliced(
            index < 0 ? this.blockedRequests.length : index,
            0,
            request,
        );
    }

    /** Dispatches a request to an endpoint if one is available; returns whether it did. */
    private place(request: PendingRequest, now: Milliseconds): boolean {
        const { model, version, adapter } = request;
        const group = this.table.groupFor({ model, version, adapter });
        const endpoint = group.freeSlots === 0 ? undefined : this.chooser.choose(group, request, now);
        if (endpoint === undefined) {
            return false;
        }
        const preemptionController = new AbortController();
        this.preemptionControllers.set(request.id, preemptionController);
        endpoint.start(now);
        this.settle(request, Ok({ request, endpoint, startedAt: now, preempted: preemptionController.signal }));
        return true;
    }

    private preempt(now: Milliseconds): void {
        for (const { request, forTier } of this.queue.choosePreemptions(this.capacity(), now)) {
            const controller = this.preemptionControllers.get(request.id);
            if (controller !== undefined) {
                this.options.onPreemption?.(request, forTier);
                controller.abort();
            }
        }
    }

    private refuseExpired(now: Milliseconds): void {
        for (const { request, deadline } of [...this.waiters.values()]) {
            if (now >= deadline) {
                this.refuseWaiting(request, createNoEndpointFailure(request));
            }
        }
    }

    /** Removes a waiting request, whether blocked or still queued, and refuses it. */
    private refuseWaiting(request: PendingRequest, reason: Failure): void {
        if (this.blockedRequests.includes(request)) {
            this.blockedRequests = this.blockedRequests.filter(other => other !== request);
            this.queue.abandon(request, this.clock.now());
        }
        else {
            this.queue.remove(request);
        }
        this.settle(request, Err({ failure: reason, retryAfter: undefined }));
    }

    private settleRefusals(refusals: readonly Refusal[]): void {
        for (const { request, code, retryAfter } of refusals) {
            this.settle(request, Err({ failure: failure(code, { pool: request.pool }), retryAfter }));
        }
    }

    private settle(request: PendingRequest, result: Result<Placement, DispatchRefusal>): void {
        const waiter = this.waiters.get(request.id);
        this.waiters.delete(request.id);
        waiter?.resolve(result);
    }

    /** Returns the summary of this pool to send to the other entries; must be called once per message. */
    summarize(pool: string, now: Milliseconds): PoolSummary {
        return this.queue.summarize(pool, this.capacity(), now);
    }

    private capacity(): PoolCapacity {
        const { freeSlots } = this.table;
        const slots = freeSlots + this.running;
        return {
            freeSlots,
            tokensPerSecond: this.serviceRate.tokensPerSecond(slots),
            requestsPerSecond: this.serviceRate.requestsPerSecond(slots),
        };
    }
}

function createNoEndpointFailure(request: PendingRequest): Failure {
    return failure("noEndpoint", { pool: request.pool });
}
