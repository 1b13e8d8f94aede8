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

/** Requests that were taken and wait for an endpoint with what they need, at most. */
const maximumParked = 64;

/** Longest wait of a request that was dispatched before and must be dispatched again, in milliseconds. */
const longestResumeWait: Milliseconds = 60_000;

/** When callers should come back where no endpoint is known, in milliseconds. */
const noEndpointRetryAfter: Milliseconds = 5_000;

/** A slot at an endpoint that a request holds until it is released. */
export interface Placement {
    readonly request: PendingRequest;
    readonly endpoint: EndpointState;
    readonly startedAt: Milliseconds;
    /** Aborts when the slot is wanted for a more important request. */
    readonly preempted: AbortSignal;
}

/** Why a request got no endpoint. */
export interface Refused {
    readonly failure: Failure;
    /** When to come back, in milliseconds from now; undefined where waiting does not help. */
    readonly retryAfter: Milliseconds | undefined;
}

/** What a dispatcher works with. */
export interface PoolDispatcherOptions {
    readonly queue: AdmissionQueue;
    readonly chooser: EndpointChooser;
    readonly table: EndpointTable;
    readonly clock: Clock;
    /** Whether the entry may serve now; while it may not, nothing is dispatched. */
    readonly mayServe: (now: Milliseconds) => boolean;
    /** Told of each request that is interrupted for the sake of a tier. */
    readonly onPreemption?: (request: PendingRequest, forTier: number) => void;
}

interface Waiter {
    readonly request: PendingRequest;
    readonly resolve: (result: Result<Placement, Refused>) => void;
    /** Whether it was dispatched before. */
    readonly resumed: boolean;
    readonly giveUpAt: Milliseconds;
}

/** Brings the waiting requests of one pool and its free endpoints together. */
export class PoolDispatcher {
    /** The pool's endpoints. */
    readonly table: EndpointTable;
    private readonly queue: AdmissionQueue;
    private readonly chooser: EndpointChooser;
    private readonly clock: Clock;
    private readonly waiters = new Map<string, Waiter>();
    private readonly preemptions = new Map<string, AbortController>();
    private readonly rate = new ServiceRate();
    /** Requests that were taken while no endpoint with what they need had a free slot, in the order of their tiers. */
    private parked: readonly PendingRequest[] = [];

    constructor(private readonly options: PoolDispatcherOptions) {
        this.queue = options.queue;
        this.chooser = options.chooser;
        this.table = options.table;
        this.clock = options.clock;
    }

    /** Requests that wait. */
    get waiting(): number {
        return this.queue.length + this.parked.length;
    }

    /** Requests that run. */
    get running(): number {
        return this.preemptions.size;
    }

    /** Waits for a slot at an endpoint; ends with a refusal when the queue gives the request up or the signal aborts. */
    acquire(request: PendingRequest, abandoned: AbortSignal): Promise<Result<Placement, Refused>> {
        const now = this.clock.now();
        if (this.table.all.length === 0) {
            const refusal = { failure: noEndpoint(request), retryAfter: noEndpointRetryAfter };
            return Promise.resolve(Err(refusal));
        }
        const placed = this.wait(request, abandoned, false, now);
        if (!abandoned.aborted) {
            this.refuse(this.queue.offer(request, this.capacity(), now));
            this.pump(now);
        }
        return placed;
    }

    /** Gives a slot back and waits for another: the request goes on where it stopped, and the queue can't refuse it. */
    reacquire(placement: Placement, abandoned: AbortSignal): Promise<Result<Placement, Refused>> {
        const now = this.clock.now();
        const placed = this.wait(placement.request, abandoned, true, now);
        this.vacate(placement, now);
        if (abandoned.aborted) {
            this.queue.abandon(placement.request, now);
        }
        else {
            this.queue.requeue(placement.request, now);
        }
        this.pump(now);
        return placed;
    }

    /** Gives a slot back and records what the request used. */
    release(placement: Placement, use: RequestUsage): void {
        const now = this.clock.now();
        this.vacate(placement, now);
        this.queue.complete(placement.request, use, now);
        this.rate.learn(use.serviceTime, use.outputTokens);
        this.pump(now);
    }

    /** Gives a slot back after a request that ended without use. */
    abandon(placement: Placement): void {
        const now = this.clock.now();
        this.vacate(placement, now);
        this.queue.abandon(placement.request, now);
        this.pump(now);
    }

    /** Does what the time demands: refuses, preempts, dispatches; called at regular intervals. */
    sweep(now: Milliseconds): void {
        this.table.refresh(now);
        this.refuse(this.queue.sweep(this.capacity(), now));
        this.giveUpLate(now);
        this.preempt(now);
        this.pump(now);
    }

    /** Refuses at once every waiting request whose key is no longer known. */
    withdrawKeys(isKnown: (keyDigest: string) => boolean): void {
        for (const { request, resumed } of [...this.waiters.values()]) {
            if (request.keyDigest !== undefined && !isKnown(request.keyDigest)) {
                this.withdraw(request, failure(resumed ? "keyWithdrawnWhileRunning" : "keyWithdrawn"));
            }
        }
    }

    /** Dispatches what can be dispatched; called after each change of the endpoints. */
    pump(now: Milliseconds): void {
        if (!this.options.mayServe(now)) {
            return;
        }
        this.placeParked(now);
        while (this.queue.length > 0 && this.table.freeSlots > 0 && this.parked.length < maximumParked) {
            const request = this.queue.take(this.capacity(), now);
            if (request === undefined) {
                return;
            }
            if (!this.place(request, now)) {
                this.park(request);
            }
        }
    }

    private wait(
        request: PendingRequest,
        abandoned: AbortSignal,
        resumed: boolean,
        now: Milliseconds,
    ): Promise<Result<Placement, Refused>> {
        return new Promise(resolve => {
            const abandon = (): void => {
                this.withdraw(request, failure("callerLeft"));
            };
            this.waiters.set(request.id, {
                request,
                resumed,
                giveUpAt: resumed ? now + longestResumeWait : Infinity,
                resolve: result => {
                    abandoned.removeEventListener("abort", abandon);
                    resolve(result);
                },
            });
            if (abandoned.aborted) {
                abandon();
                return;
            }
            abandoned.addEventListener("abort", abandon, { once: true });
        });
    }

    private vacate({ request, endpoint }: Placement, now: Milliseconds): void {
        this.preemptions.delete(request.id);
        endpoint.finish(now);
    }

    private placeParked(now: Milliseconds): void {
        if (this.parked.length > 0 && this.table.freeSlots > 0) {
            this.parked = this.parked.filter(request => !this.place(request, now));
        }
    }

    private park(request: PendingRequest): void {
        const tier = request.requestClass.tier;
        const index = this.parked.findIndex(other => other.requestClass.tier > tier);
        this.parked = this.parked.toSpliced(index < 0 ? this.parked.length : index, 0, request);
    }

    /** @returns Whether an endpoint was found. */
    private place(request: PendingRequest, now: Milliseconds): boolean {
        const { model, version, adapter } = request;
        const group = this.table.groupFor({ model, version, adapter });
        const endpoint = group.freeSlots === 0 ? undefined : this.chooser.choose(group, request, now);
        if (endpoint === undefined) {
            return false;
        }
        const preemption = new AbortController();
        this.preemptions.set(request.id, preemption);
        endpoint.start(now);
        this.settle(request, Ok({ request, endpoint, startedAt: now, preempted: preemption.signal }));
        return true;
    }

    private preempt(now: Milliseconds): void {
        for (const { request, forTier } of this.queue.choosePreemptions(this.capacity(), now)) {
            const preemption = this.preemptions.get(request.id);
            if (preemption !== undefined) {
                this.options.onPreemption?.(request, forTier);
                preemption.abort();
            }
        }
    }

    private giveUpLate(now: Milliseconds): void {
        for (const { request, giveUpAt } of [...this.waiters.values()]) {
            if (now >= giveUpAt) {
                this.withdraw(request, noEndpoint(request));
            }
        }
    }

    /** Takes a waiting request out, wherever it waits, and answers it. */
    private withdraw(request: PendingRequest, reason: Failure): void {
        if (this.parked.includes(request)) {
            this.parked = this.parked.filter(other => other !== request);
            this.queue.abandon(request, this.clock.now());
        }
        else {
            this.queue.remove(request);
        }
        this.settle(request, Err({ failure: reason, retryAfter: undefined }));
    }

    private refuse(refusals: readonly Refusal[]): void {
        for (const { request, code, retryAfter } of refusals) {
            this.settle(request, Err({ failure: failure(code, { pool: request.pool }), retryAfter }));
        }
    }

    private settle(request: PendingRequest, result: Result<Placement, Refused>): void {
        const waiter = this.waiters.get(request.id);
        this.waiters.delete(request.id);
        waiter?.resolve(result);
    }

    /** What other entries should know of this pool; called once for each message. */
    summarize(pool: string, now: Milliseconds): PoolSummary {
        return this.queue.summarize(pool, this.capacity(), now);
    }

    private capacity(): PoolCapacity {
        const { freeSlots } = this.table;
        const slots = freeSlots + this.running;
        return {
            freeSlots,
            tokensPerSecond: this.rate.tokensPerSecond(slots),
            requestsPerSecond: this.rate.requestsPerSecond(slots),
        };
    }
}

function noEndpoint(request: PendingRequest): Failure {
    return failure("noEndpoint", { pool: request.pool });
}
