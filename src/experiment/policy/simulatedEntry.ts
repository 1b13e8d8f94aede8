import { CapacityEstimator } from "../../request/admission/capacityEstimator.js";
import type { PoolCapacity, Refusal, RequestUsage } from "../../request/admissionQueue.js";
import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { Attempt } from "./attempt.js";
import { chooseEngine } from "./engineChoice.js";
import type { EventQueue } from "./eventQueue.js";
import type { FigureRecorder } from "./figureRecorder.js";
import type { EntryAdmission } from "./policy.js";
import type { SimulatedEndpoint } from "./simulatedEndpoint.js";

/** One entry of an experiment: its queue, its view of the engines, and the requests that it runs. */
export class SimulatedEntry {
    private readonly attempts = new Map<string, Attempt>();
    private readonly places = new Map<string, SimulatedEndpoint>();
    private readonly estimator = new CapacityEstimator();

    constructor(
        readonly admission: EntryAdmission,
        readonly endpoints: readonly SimulatedEndpoint[],
        private readonly random: RandomSource,
        private readonly entries: number,
        private readonly events: EventQueue,
        private readonly recorder: FigureRecorder,
    ) {}

    /** Takes an attempt of a caller. */
    submit(attempt: Attempt): void {
        const { now } = this.events;
        this.attempts.set(attempt.request.id, attempt);
        this.recorder.noteAttempt(attempt.demand.requestClass, now);
        this.refuse(this.admission.queue.offer(attempt.request, this.capacity(), now));
        this.work();
    }

    /** Ends an attempt whose caller left. */
    leave(attempt: Attempt): void {
        const { request } = attempt;
        if (!this.attempts.delete(request.id)) {
            return;
        }
        const place = this.places.get(request.id);
        if (place === undefined) {
            this.admission.queue.remove(request);
            this.recorder.noteLeftWaiting(request.requestClass);
        }
        else {
            this.stop(attempt, place);
            this.admission.queue.complete(request, this.useOf(attempt), this.events.now);
            this.recorder.noteStopped(request.requestClass, this.events.now);
        }
        this.recorder.noteWasted(attempt.madeTokens);
        this.work();
    }

    /** Does what time alone brings about. */
    sweep(): void {
        this.refuse(this.admission.queue.sweep(this.capacity(), this.events.now));
        this.work();
    }

    /** Starts and preempts whatever is due. */
    work(): void {
        this.pump();
        const preemptions = this.admission.queue.choosePreemptions(this.capacity(), this.events.now);
        preemptions.forEach(({ request }) => {
            this.preempt(request.id);
        });
        if (preemptions.length > 0) {
            this.pump();
        }
    }

    /** The capacity as this entry sees it. */
    capacity(): PoolCapacity {
        let running = 0;
        let free = 0;
        let total = 0;
        let urgentSlots = 0;
        for (const endpoint of this.endpoints) {
            running += endpoint.running;
            free += endpoint.freeSlots;
            total += endpoint.capacity;
            urgentSlots += endpoint.urgentSlots;
        }
        return {
            ...this.estimator.estimate({
                runningRequests: running,
                freeSlots: free,
                totalSlots: total,
                entryCount: this.entries,
            }),
            urgentSlots,
        };
    }

    private pump(): void {
        while (this.admission.queue.length > 0) {
            const request = this.admission.queue.take(this.capacity(), this.events.now);
            const attempt = request === undefined ? undefined : this.attempts.get(request.id);
            if (attempt === undefined) {
                return;
            }
            const place = chooseEngine(this.candidates(), this.random);
            if (place === undefined) {
                throw new Error("A request was taken though no engine can have it.");
            }
            this.start(attempt, place);
        }
    }

    private candidates(): readonly SimulatedEndpoint[] {
        const free = this.endpoints.filter(endpoint => endpoint.freeSlots > 0);
        if (free.length > 0) {
            return free;
        }
        const urgent = this.endpoints.filter(endpoint => endpoint.urgentSlots > 0);
        const lowestLoad = Math.min(...urgent.map(endpoint => endpoint.load));
        return urgent.filter(endpoint => endpoint.load <= lowestLoad + 1);
    }

    private start(attempt: Attempt, place: SimulatedEndpoint): void {
        const { request } = attempt;
        place.running += 1;
        this.places.set(request.id, place);
        attempt.startedAt = this.events.now;
        this.recorder.noteStarted(request.requestClass, this.events.now);
        place.engine.start({
            id: request.id,
            tier: request.requestClass.tier,
            contextTokens: request.promptTokens + attempt.madeTokens,
            outputTokens: attempt.demand.outputTokens - attempt.madeTokens,
            onFirstToken: () => {
                attempt.firstTokenAt ??= this.events.now;
            },
            onEnd: () => {
                this.end(attempt, place);
            },
            onLost: madeTokens => {
                this.resume(attempt, place, madeTokens);
            },
        });
    }

    private end(attempt: Attempt, place: SimulatedEndpoint): void {
        const { request } = attempt;
        this.release(attempt, place);
        attempt.madeTokens = attempt.demand.outputTokens;
        this.attempts.delete(request.id);
        const use = this.useOf(attempt);
        this.estimator.observe(use);
        this.admission.queue.complete(request, use, this.events.now);
        this.recorder.noteStopped(request.requestClass, this.events.now);
        attempt.onAnswered();
        this.work();
    }

    /** Brings a request whose engine was lost back to the queue, to be resumed elsewhere. */
    private resume(attempt: Attempt, place: SimulatedEndpoint, madeTokens: number): void {
        place.noteLost();
        attempt.madeTokens += madeTokens;
        this.release(attempt, place);
        this.giveBack(attempt, place);
        this.work();
    }

    private preempt(id: string): void {
        const attempt = this.attempts.get(id);
        const place = this.places.get(id);
        if (attempt === undefined || place === undefined) {
            return;
        }
        this.stop(attempt, place);
        this.giveBack(attempt, place);
    }

    private giveBack(attempt: Attempt, place: SimulatedEndpoint): void {
        const context = attempt.request.promptTokens + attempt.madeTokens;
        const again = context / place.engine.speed.promptTokensPerStep;
        this.recorder.notePreempted(attempt.request.requestClass, again, this.events.now);
        this.admission.queue.requeue(attempt.request, this.events.now);
    }

    private stop(attempt: Attempt, place: SimulatedEndpoint): void {
        attempt.madeTokens += place.engine.stop(attempt.request.id);
        this.release(attempt, place);
    }

    private release(attempt: Attempt, place: SimulatedEndpoint): void {
        place.running -= 1;
        this.places.delete(attempt.request.id);
        attempt.serviceTime += this.events.now - attempt.startedAt;
    }

    private refuse(refusals: readonly Refusal[]): void {
        for (const { request, retryAfter } of refusals) {
            const attempt = this.attempts.get(request.id);
            this.attempts.delete(request.id);
            this.recorder.noteRefused(request.requestClass);
            attempt?.onRefused(retryAfter);
        }
    }

    private useOf(attempt: Attempt): RequestUsage {
        const serviceTime: Milliseconds = attempt.serviceTime;
        const { promptTokens } = attempt.request;
        return { promptTokens, cachedTokens: 0, outputTokens: attempt.madeTokens, serviceTime };
    }
}
