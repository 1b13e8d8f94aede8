import { CapacityEstimator } from "../../request/admission/capacityEstimator.js";
import type { PoolCapacity, Refusal, RequestUsage } from "../../request/admissionQueue.js";
import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { Attempt } from "./attempt.js";
import { chooseEndpoint } from "./endpointChoice.js";
import type { EventQueue } from "./eventQueue.js";
import type { MetricsRecorder } from "./metricsRecorder.js";
import type { EntryAdmission } from "./policy.js";
import type { SimulatedEndpoint } from "./simulatedEndpoint.js";

/** Simulates one entry: its queue, its view of the engines and its running requests. */
export class SimulatedEntry {
    private readonly attempts = new Map<string, Attempt>();
    private readonly endpointsByRequest = new Map<string, SimulatedEndpoint>();
    private readonly estimator = new CapacityEstimator();

    constructor(
        readonly admission: EntryAdmission,
        readonly endpoints: readonly SimulatedEndpoint[],
        private readonly random: RandomSource,
        private readonly entryCount: number,
        private readonly events: EventQueue,
        private readonly recorder: MetricsRecorder,
    ) {}

    /** Submits an attempt of a caller. */
    submit(attempt: Attempt): void {
        const { now } = this.events;
        this.attempts.set(attempt.request.id, attempt);
        this.recorder.recordAttempt(attempt.logicalRequest.requestClass, now);
        this.refuse(this.admission.queue.offer(attempt.request, this.capacity(), now));
        this.dispatchAndPreempt();
    }

    /** Ends an attempt abandoned by its caller; does nothing if the attempt has ended already. */
    abandon(attempt: Attempt): void {
        const { request } = attempt;
        if (!this.attempts.delete(request.id)) {
            return;
        }
        const endpoint = this.endpointsByRequest.get(request.id);
        if (endpoint === undefined) {
            this.admission.queue.remove(request);
            this.recorder.recordAbandonedWaiting(request.requestClass);
        }
        else {
            this.stop(attempt, endpoint);
            this.admission.queue.complete(request, this.usageOf(attempt), this.events.now);
            this.recorder.recordStopped(request.requestClass, this.events.now);
        }
        this.recorder.recordWasted(attempt.generatedTokens);
        this.dispatchAndPreempt();
    }

    /** Refuses the requests that are due because of elapsed time, then dispatches; called periodically. */
    sweep(): void {
        this.refuse(this.admission.queue.sweep(this.capacity(), this.events.now));
        this.dispatchAndPreempt();
    }

    /** Starts waiting requests and performs due preemptions. */
    dispatchAndPreempt(): void {
        this.dispatch();
        const preemptions = this.admission.queue.choosePreemptions(this.capacity(), this.events.now);
        preemptions.forEach(({ request }) => {
            this.preempt(request.id);
        });
        if (preemptions.length > 0) {
            this.dispatch();
        }
    }

    /** Returns the capacity of the pool from the view of this entry. */
    capacity(): PoolCapacity {
        let runningRequests = 0;
        let freeSlots = 0;
        let totalSlots = 0;
        let urgentSlots = 0;
        for (const endpoint of this.endpoints) {
            runningRequests += endpoint.runningRequests;
            freeSlots += endpoint.freeSlots;
            totalSlots += endpoint.capacity;
            urgentSlots += endpoint.urgentSlots;
        }
        return {
            ...this.estimator.estimate({
                runningRequests,
                freeSlots,
                totalSlots,
                entryCount: this.entryCount,
            }),
            urgentSlots,
        };
    }

    private dispatch(): void {
        while (this.admission.queue.length > 0) {
            const request = this.admission.queue.take(this.capacity(), this.events.now);
            const attempt = request === undefined ? undefined : this.attempts.get(request.id);
            if (attempt === undefined) {
                return;
            }
            const endpoint = chooseEndpoint(this.candidateEndpoints(), this.random);
            if (endpoint === undefined) {
                throw new Error("No endpoint has a slot for the request that the queue returned");
            }
            this.start(attempt, endpoint);
        }
    }

    private candidateEndpoints(): readonly SimulatedEndpoint[] {
        const freeEndpoints = this.endpoints.filter(endpoint => endpoint.freeSlots > 0);
        if (freeEndpoints.length > 0) {
            return freeEndpoints;
        }
        const urgentEndpoints = this.endpoints.filter(endpoint => endpoint.urgentSlots > 0);
        const lowestLoad = Math.min(...urgentEndpoints.map(endpoint => endpoint.load));
        return urgentEndpoints.filter(endpoint => endpoint.load <= lowestLoad + 1);
    }

    private start(attempt: Attempt, endpoint: SimulatedEndpoint): void {
        const { request } = attempt;
        endpoint.runningRequests += 1;
        this.endpointsByRequest.set(request.id, endpoint);
        attempt.startedAt = this.events.now;
        this.recorder.recordStarted(request.requestClass, this.events.now);
        endpoint.engine.start({
            id: request.id,
            tier: request.requestClass.tier,
            contextTokens: request.promptTokens + attempt.generatedTokens,
            outputTokens: attempt.logicalRequest.outputTokens - attempt.generatedTokens,
            onFirstToken: () => {
                attempt.firstTokenAt ??= this.events.now;
            },
            onCompleted: () => {
                this.complete(attempt, endpoint);
            },
            onEngineFailed: generatedTokens => {
                this.requeueAfterFailure(attempt, endpoint, generatedTokens);
            },
        });
    }

    private complete(attempt: Attempt, endpoint: SimulatedEndpoint): void {
        const { request } = attempt;
        this.release(attempt, endpoint);
        attempt.generatedTokens = attempt.logicalRequest.outputTokens;
        this.attempts.delete(request.id);
        const usage = this.usageOf(attempt);
        this.estimator.observe(usage);
        this.admission.queue.complete(request, usage, this.events.now);
        this.recorder.recordStopped(request.requestClass, this.events.now);
        attempt.onCompleted();
        this.dispatchAndPreempt();
    }

    /** Returns a request to the queue after the failure of its engine, so that it resumes on another engine. */
    private requeueAfterFailure(attempt: Attempt, endpoint: SimulatedEndpoint, generatedTokens: number): void {
        endpoint.markLost();
        attempt.generatedTokens += generatedTokens;
        this.release(attempt, endpoint);
        this.requeue(attempt, endpoint);
        this.dispatchAndPreempt();
    }

    private preempt(requestId: string): void {
        const attempt = this.attempts.get(requestId);
        const endpoint = this.endpointsByRequest.get(requestId);
        if (attempt === undefined || endpoint === undefined) {
            return;
        }
        this.stop(attempt, endpoint);
        this.requeue(attempt, endpoint);
    }

    private requeue(attempt: Attempt, endpoint: SimulatedEndpoint): void {
        const contextTokens = attempt.request.promptTokens + attempt.generatedTokens;
        const repeatedTokens = contextTokens / endpoint.engine.speed.promptTokensPerStep;
        this.recorder.recordPreempted(attempt.request.requestClass, repeatedTokens, this.events.now);
        this.admission.queue.requeue(attempt.request, this.events.now);
    }

    private stop(attempt: Attempt, endpoint: SimulatedEndpoint): void {
        attempt.generatedTokens += endpoint.engine.stop(attempt.request.id);
        this.release(attempt, endpoint);
    }

    private release(attempt: Attempt, endpoint: SimulatedEndpoint): void {
        endpoint.runningRequests -= 1;
        this.endpointsByRequest.delete(attempt.request.id);
        attempt.serviceTime += this.events.now - attempt.startedAt;
    }

    private refuse(refusals: readonly Refusal[]): void {
        for (const { request, retryAfter } of refusals) {
            const attempt = this.attempts.get(request.id);
            this.attempts.delete(request.id);
            this.recorder.recordRefused(request.requestClass);
            attempt?.onRefused(retryAfter);
        }
    }

    private usageOf(attempt: Attempt): RequestUsage {
        const serviceTime: Milliseconds = attempt.serviceTime;
        const { promptTokens } = attempt.request;
        return { promptTokens, cachedTokens: 0, outputTokens: attempt.generatedTokens, serviceTime };
    }
}
