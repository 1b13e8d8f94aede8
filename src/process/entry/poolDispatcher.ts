import type { ActualUse, AdmissionQueue, PoolCapacityView, Refusal } from "../../request/admissionQueue.js";
import type { EndpointChooser } from "../../request/endpointChooser.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { EndpointState } from "./endpointState.js";

/** A slot at an endpoint that a request holds until it is released. */
export interface Placement {
    readonly request: PendingRequest;
    readonly endpoint: EndpointState;
    readonly startedAt: Milliseconds;
}

/** Why a request got no endpoint. */
export interface Refused {
    readonly failure: Failure;
    /** When to come back, in milliseconds from now; undefined where waiting does not help. */
    readonly retryAfter: Milliseconds | undefined;
}

interface Waiter {
    readonly resolve: (result: Result<Placement, Refused>) => void;
}

/** Brings the waiting requests of one pool and its free endpoints together. */
export class PoolDispatcher {
    private readonly waiters = new Map<string, Waiter>();
    private endpointStates: readonly EndpointState[] = [];

    constructor(
        private readonly queue: AdmissionQueue,
        private readonly chooser: EndpointChooser,
        private readonly clock: Clock,
    ) {}

    /** The pool's endpoints. */
    get endpoints(): readonly EndpointState[] {
        return this.endpointStates;
    }

    /** Requests that wait. */
    get waiting(): number {
        return this.queue.length;
    }

    /** Requests that run. */
    get running(): number {
        return this.endpointStates.reduce((sum, endpoint) => sum + endpoint.running, 0);
    }

    /** Replaces the pool's endpoints. */
    setEndpoints(endpoints: readonly EndpointState[]): void {
        this.endpointStates = endpoints;
        this.pump(this.clock.now());
    }

    /** Waits for a slot at an endpoint; ends with a refusal when the queue gives the request up or the signal aborts. */
    acquire(request: PendingRequest, abandoned: AbortSignal): Promise<Result<Placement, Refused>> {
        return new Promise(resolve => {
            const abandon = (): void => {
                this.queue.remove(request);
                this.settle(request, Err({ failure: failure("callerLeft"), retryAfter: undefined }));
            };
            this.waiters.set(request.id, {
                resolve: result => {
                    abandoned.removeEventListener("abort", abandon);
                    resolve(result);
                },
            });
            abandoned.addEventListener("abort", abandon, { once: true });
            const now = this.clock.now();
            this.refuse(this.queue.offer(request, this.capacity(), now));
            this.pump(now);
        });
    }

    /** Gives a slot back and records what the request used. */
    release(placement: Placement, use: ActualUse): void {
        const now = this.clock.now();
        placement.endpoint.running--;
        this.queue.complete(placement.request, use, now);
        this.pump(now);
    }

    /** Refuses waiting requests whose time has run out; called at regular intervals. */
    sweep(now: Milliseconds): void {
        this.refuse(this.queue.sweep(this.capacity(), now));
        this.pump(now);
    }

    private pump(now: Milliseconds): void {
        for (;;) {
            const candidates = this.endpointStates.filter(endpoint => endpoint.freeSlots > 0);
            if (candidates.length === 0 || this.queue.length === 0) {
                return;
            }
            const request = this.queue.take(this.capacity(), now);
            if (request === undefined) {
                return;
            }
            this.place(request, candidates, now);
        }
    }

    private place(request: PendingRequest, candidates: readonly EndpointState[], now: Milliseconds): void {
        const endpoint = this.chooser.choose(candidates, request, now);
        if (endpoint === undefined) {
            const refusal = { failure: failure("noEndpoint", { pool: request.pool }), retryAfter: undefined };
            this.settle(request, Err(refusal));
            return;
        }
        endpoint.running++;
        this.settle(request, Ok({ request, endpoint, startedAt: now }));
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

    private capacity(): PoolCapacityView {
        const freeSlots = this.endpointStates.reduce((sum, endpoint) => sum + endpoint.freeSlots, 0);
        return { freeSlots, tokensPerSecond: 0, requestsPerSecond: 0 };
    }
}
