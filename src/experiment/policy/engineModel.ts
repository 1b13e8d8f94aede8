import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";
import type { EventQueue, ScheduledEvent } from "./eventQueue.js";

/** Performance parameters of an engine. */
export interface EngineSpeed {
    /** Maximum batch size: the number of sequences that run concurrently. */
    readonly slots: number;
    /** Duration of one step without the time per sequence, in milliseconds. */
    readonly stepTime: Milliseconds;
    /** Additional duration of one step for each sequence in the batch, in milliseconds. */
    readonly stepTimePerSequence: Milliseconds;
    /** Number of prompt tokens processed in one step, the time of one output token. */
    readonly promptTokensPerStep: number;
}

/** A sequence to generate on an engine. */
export interface EngineJob {
    readonly id: string;
    readonly tier: number;
    /** Number of tokens to prefill before the first output token. */
    readonly contextTokens: number;
    /** Number of output tokens to generate. */
    readonly outputTokens: number;
    /** Called when the first output token is generated. */
    readonly onFirstToken: () => void;
    /** Called when the last output token is generated. */
    readonly onCompleted: () => void;
    /** Called when the engine fails, with the number of output tokens generated so far. */
    readonly onEngineFailed: (generatedTokens: number) => void;
}

interface RunningJob {
    readonly job: EngineJob;
    readonly prefillEndStep: number;
    heapMember: HeapNode<RunningJob> | undefined;
    firstTokenEvent: ScheduledEvent | undefined;
}

/**
 * Simulates a model engine with continuous batching.
 *
 * Each step generates one token for every sequence in the batch; the duration of a step grows with the batch size. Jobs
 * beyond the slots wait in the engine, ordered by tier, the highest first.
 */
export class EngineModel {
    private readonly runningJobs = new Map<string, RunningJob>();
    private readonly runningByEndStep = new IndexedHeap<RunningJob>();
    private readonly waitingQueue = new IndexedHeap<EngineJob>();
    private readonly waitingMembers = new Map<string, HeapNode<EngineJob>>();
    private elapsedSteps = 0;
    private advancedAt: Milliseconds = 0;
    private nextCompletion: ScheduledEvent | undefined;
    private slowdownFactor = 1;
    private failed = false;

    /**
     * @param events Provides the simulated time.
     * @param speed The performance parameters.
     */
    constructor(private readonly events: EventQueue, readonly speed: EngineSpeed) {}

    /** Number of running and waiting jobs. */
    get load(): number {
        return this.runningJobs.size + this.waitingQueue.size;
    }

    /** Multiplies the step time by a factor from now on; infinity stalls the engine, 1 is the normal speed. */
    setSlowdown(factor: number): void {
        this.advance();
        this.slowdownFactor = factor;
        this.scheduleNextCompletion();
    }

    /** Whether the engine has failed. */
    get isFailed(): boolean {
        return this.failed;
    }

    /** Fails the engine: all current jobs and all jobs started later fail. */
    fail(): void {
        this.failed = true;
        const jobs = [...[...this.runningJobs.values()].map(running => running.job), ...this.waitingJobs];
        jobs.forEach(job => {
            job.onEngineFailed(this.stop(job.id));
        });
    }

    /** Starts a job, or queues it if all slots are in use. */
    start(job: EngineJob): void {
        if (this.failed) {
            this.events.scheduleAfter(0, () => {
                job.onEngineFailed(0);
            });
            return;
        }
        if (this.runningJobs.size >= this.speed.slots) {
            this.waitingMembers.set(job.id, this.waitingQueue.insert(job, job.tier));
            return;
        }
        this.advance();
        this.startRunning(job);
        this.scheduleNextCompletion();
    }

    /** Stops a job; returns the number of output tokens generated, 0 for an unknown job. */
    stop(id: string): number {
        const waitingMember = this.waitingMembers.get(id);
        if (waitingMember !== undefined) {
            this.waitingQueue.delete(waitingMember);
            this.waitingMembers.delete(id);
            return 0;
        }
        const running = this.runningJobs.get(id);
        if (running === undefined) {
            return 0;
        }
        this.advance();
        const generatedTokens = Math.floor(this.elapsedSteps - running.prefillEndStep);
        this.removeRunning(running);
        this.startWaitingJobs();
        this.scheduleNextCompletion();
        return Math.min(running.job.outputTokens, Math.max(0, generatedTokens));
    }

    private get waitingJobs(): readonly EngineJob[] {
        return [...this.waitingMembers.values()].map(member => member.value);
    }

    /** Duration of one step with the current batch, in milliseconds. */
    private get currentStepTime(): Milliseconds {
        return (this.speed.stepTime + this.speed.stepTimePerSequence * this.runningJobs.size) * this.slowdownFactor;
    }

    private advance(): void {
        const elapsed = this.events.now - this.advancedAt;
        this.elapsedSteps += elapsed / this.currentStepTime;
        this.advancedAt = this.events.now;
    }

    private startRunning(job: EngineJob): void {
        const prefillEndStep = this.elapsedSteps + job.contextTokens / this.speed.promptTokensPerStep;
        const running: RunningJob = { job, prefillEndStep, heapMember: undefined, firstTokenEvent: undefined };
        running.heapMember = this.runningByEndStep.insert(running, prefillEndStep + job.outputTokens);
        this.runningJobs.set(job.id, running);
        const firstTokenDelay = (prefillEndStep + 1 - this.elapsedSteps) * this.currentStepTime;
        if (Number.isFinite(firstTokenDelay)) {
            running.firstTokenEvent = this.events.scheduleAfter(firstTokenDelay, job.onFirstToken);
        }
    }

    private removeRunning(running: RunningJob): void {
        this.runningJobs.delete(running.job.id);
        if (running.heapMember !== undefined) {
            this.runningByEndStep.delete(running.heapMember);
        }
        if (running.firstTokenEvent !== undefined) {
            this.events.cancel(running.firstTokenEvent);
        }
    }

    private startWaitingJobs(): void {
        while (this.runningJobs.size < this.speed.slots) {
            const next = this.waitingQueue.first;
            if (next === undefined) {
                return;
            }
            this.waitingQueue.delete(next);
            this.waitingMembers.delete(next.value.id);
            this.startRunning(next.value);
        }
    }

    private scheduleNextCompletion(): void {
        if (this.nextCompletion !== undefined) {
            this.events.cancel(this.nextCompletion);
        }
        const first = this.runningByEndStep.first;
        const delay = first === undefined ? Infinity : (first.key - this.elapsedSteps) * this.currentStepTime;
        this.nextCompletion = Number.isFinite(delay)
            ? this.events.scheduleAfter(delay, () => {
                this.completeFirst();
            })
            : undefined;
    }

    private completeFirst(): void {
        this.nextCompletion = undefined;
        this.advance();
        const running = this.runningByEndStep.first?.value;
        if (running !== undefined) {
            this.removeRunning(running);
            this.startWaitingJobs();
            this.scheduleNextCompletion();
            running.job.onCompleted();
        }
    }
}
