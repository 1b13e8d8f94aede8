import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";
import type { EventQueue, PlannedAction } from "./eventQueue.js";

/** How fast an engine is. */
export interface EngineSpeed {
    /** Streams that it runs at once. */
    readonly slots: number;
    /** Time of one step with an empty batch, in milliseconds. */
    readonly stepTime: Milliseconds;
    /** Additional time of a step for each stream of the batch, in milliseconds. */
    readonly stepTimePerStream: Milliseconds;
    /** Prompt tokens that are processed in the time of one output token. */
    readonly promptTokensPerStep: number;
}

/** A stream as an engine sees it. */
export interface EngineJob {
    readonly id: string;
    readonly tier: number;
    /** Tokens to process before the first output token. */
    readonly contextTokens: number;
    /** Output tokens to make. */
    readonly outputTokens: number;
    /** Called once the first token is due. */
    readonly onFirstToken: () => void;
    /** Called when the last token was made. */
    readonly onEnd: () => void;
    /** Called when the engine is lost, with the output tokens that it made. */
    readonly onLost: (madeTokens: number) => void;
}

interface Stream {
    readonly job: EngineJob;
    readonly firstMark: number;
    member: HeapNode<Stream> | undefined;
    firstToken: PlannedAction | undefined;
}

/**
 * A model engine with continuous batching: all streams of the batch advance together, one token a step, and a step
 * takes longer the more streams there are. Jobs beyond its slots wait inside it, the most important tier first.
 */
export class EngineModel {
    private readonly streams = new Map<string, Stream>();
    private readonly byEnd = new IndexedHeap<Stream>();
    private readonly waiting = new IndexedHeap<EngineJob>();
    private readonly waitingMembers = new Map<string, HeapNode<EngineJob>>();
    private steps = 0;
    private advancedAt: Milliseconds = 0;
    private nextEnd: PlannedAction | undefined;
    private slowness = 1;
    private gone = false;

    /**
     * @param events The simulated time.
     * @param speed How fast it is.
     */
    constructor(private readonly events: EventQueue, readonly speed: EngineSpeed) {}

    /** Jobs that it has, waiting ones among them. */
    get load(): number {
        return this.streams.size + this.waiting.size;
    }

    /** Makes the engine slower by a factor from now on; infinity stops it. */
    slowDown(factor: number): void {
        this.advance();
        this.slowness = factor;
        this.planNextEnd();
    }

    /** Whether it was lost. */
    get lost(): boolean {
        return this.gone;
    }

    /** Ends it: every job is lost, and so is each that comes later. */
    lose(): void {
        this.gone = true;
        const jobs = [...[...this.streams.values()].map(stream => stream.job), ...this.waitingJobs];
        jobs.forEach(job => {
            job.onLost(this.stop(job.id));
        });
    }

    /** Takes a job. */
    start(job: EngineJob): void {
        if (this.gone) {
            this.events.after(0, () => {
                job.onLost(0);
            });
            return;
        }
        if (this.streams.size >= this.speed.slots) {
            this.waitingMembers.set(job.id, this.waiting.insert(job, job.tier));
            return;
        }
        this.advance();
        this.admit(job);
        this.planNextEnd();
    }

    /** Stops a job; returns the output tokens that it made. */
    stop(id: string): number {
        const member = this.waitingMembers.get(id);
        if (member !== undefined) {
            this.waiting.delete(member);
            this.waitingMembers.delete(id);
            return 0;
        }
        const stream = this.streams.get(id);
        if (stream === undefined) {
            return 0;
        }
        this.advance();
        const made = Math.floor(this.steps - stream.firstMark);
        this.leave(stream);
        this.admitWaiting();
        this.planNextEnd();
        return Math.min(stream.job.outputTokens, Math.max(0, made));
    }

    private get waitingJobs(): readonly EngineJob[] {
        return [...this.waitingMembers.values()].map(member => member.value);
    }

    /** Time of one step with the present batch, in milliseconds. */
    private get presentStepTime(): Milliseconds {
        return (this.speed.stepTime + this.speed.stepTimePerStream * this.streams.size) * this.slowness;
    }

    private advance(): void {
        const passed = this.events.now - this.advancedAt;
        this.steps += passed / this.presentStepTime;
        this.advancedAt = this.events.now;
    }

    private admit(job: EngineJob): void {
        const firstMark = this.steps + job.contextTokens / this.speed.promptTokensPerStep;
        const stream: Stream = { job, firstMark, member: undefined, firstToken: undefined };
        stream.member = this.byEnd.insert(stream, firstMark + job.outputTokens);
        this.streams.set(job.id, stream);
        const untilFirst = (firstMark + 1 - this.steps) * this.presentStepTime;
        if (Number.isFinite(untilFirst)) {
            stream.firstToken = this.events.after(untilFirst, job.onFirstToken);
        }
    }

    private leave(stream: Stream): void {
        this.streams.delete(stream.job.id);
        if (stream.member !== undefined) {
            this.byEnd.delete(stream.member);
        }
        if (stream.firstToken !== undefined) {
            this.events.cancel(stream.firstToken);
        }
    }

    private admitWaiting(): void {
        while (this.streams.size < this.speed.slots) {
            const next = this.waiting.first;
            if (next === undefined) {
                return;
            }
            this.waiting.delete(next);
            this.waitingMembers.delete(next.value.id);
            this.admit(next.value);
        }
    }

    private planNextEnd(): void {
        if (this.nextEnd !== undefined) {
            this.events.cancel(this.nextEnd);
        }
        const first = this.byEnd.first;
        const delay = first === undefined ? Infinity : (first.key - this.steps) * this.presentStepTime;
        this.nextEnd = Number.isFinite(delay)
            ? this.events.after(delay, () => {
                this.endFirst();
            })
            : undefined;
    }

    private endFirst(): void {
        this.nextEnd = undefined;
        this.advance();
        const stream = this.byEnd.first?.value;
        if (stream !== undefined) {
            this.leave(stream);
            this.admitWaiting();
            this.planNextEnd();
            stream.job.onEnd();
        }
    }
}
