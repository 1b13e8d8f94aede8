import type { Milliseconds } from "../../util/clock.js";
import type { EngineOptions } from "./engineOptions.js";
import type { PrefixCache } from "./prefixCache.js";
import { timeFactorsOf } from "./roleTimeFactors.js";
import { compareByPriority, Sequence } from "./sequence.js";
import type { SequenceEndReason, SequenceRequest } from "./sequence.js";

/** A planned step of a batch: the number of tokens to prefill for each sequence, and the duration of the step. */
export interface BatchStep {
    readonly prefill: ReadonlyMap<Sequence, number>;
    readonly duration: Milliseconds;
}

/**
 * The running batch of an engine and its waiting queue (continuous batching, Yu et al., Orca, OSDI 2022).
 *
 * Between two steps, finished sequences leave the batch and waiting sequences are admitted. When the batch is full, a
 * waiting sequence preempts the running sequence of the lowest priority if its own priority is higher. The preempted
 * sequence returns to the queue and later continues at its next token.
 */
export class Batch {
    private running: Sequence[] = [];
    private waiting: Sequence[] = [];
    private arrivalCount = 0;

    /** @param currentRole Returns the current role of the engine. */
    constructor(
        private readonly options: EngineOptions,
        private readonly cache: PrefixCache,
        private readonly currentRole: () => EngineOptions["role"],
    ) {}

    get runningCount(): number {
        return this.running.length;
    }

    get waitingCount(): number {
        return this.waiting.length;
    }

    /** The running sequences. */
    get runningSequences(): readonly Sequence[] {
        return this.running;
    }

    /** Queues a request; undefined when the waiting queue is full. */
    submit(request: SequenceRequest): Sequence | undefined {
        const waitingLimit = this.options.maximumRunning - this.running.length + this.options.maximumWaiting;
        if (this.waiting.length >= waitingLimit) {
            return undefined;
        }
        const sequence = new Sequence(request, this.arrivalCount++);
        this.waiting.push(sequence);
        return sequence;
    }

    /** Removes a sequence and aborts its sink; false when the sequence neither runs nor waits. */
    remove(sequence: Sequence, reason: Exclude<SequenceEndReason, "finished">): boolean {
        const present = this.running.includes(sequence) || this.waiting.includes(sequence);
        this.running = this.running.filter(member => member !== sequence);
        this.waiting = this.waiting.filter(member => member !== sequence);
        if (present) {
            sequence.request.sink.abort(reason);
        }
        return present;
    }

    /** Finds a running or waiting sequence by the id of its request. */
    find(id: string): Sequence | undefined {
        return [...this.running, ...this.waiting].find(sequence => sequence.request.id === id);
    }

    /** Removes all sequences and aborts their sinks. */
    clear(reason: Exclude<SequenceEndReason, "finished">): void {
        for (const sequence of [...this.running, ...this.waiting]) {
            this.remove(sequence, reason);
        }
    }

    /** Admits waiting sequences to the batch by priority, preempting running ones where needed. */
    admit(): void {
        this.waiting.sort(compareByPriority);
        while (this.waiting.length > 0 && this.ensureSlotFor(this.waiting[0])) {
            const [next] = this.waiting.splice(0, 1);
            if (next !== undefined) {
                this.startRunning(next);
            }
        }
    }

    /** Plans the next step; does not change any state. */
    planStep(): BatchStep {
        const prefill = new Map<Sequence, number>();
        let budget = this.options.prefillTokensPerStep;
        for (const sequence of this.running) {
            const tokens = Math.min(budget, sequence.remainingPrefill);
            budget -= tokens;
            prefill.set(sequence, tokens);
        }
        const prefilled = this.options.prefillTokensPerStep - budget;
        return { prefill, duration: this.stepDuration(this.running.length, prefilled) };
    }

    /** Executes a planned step: prefills, and generates one token for each sequence that is prefilled and ready. */
    executeStep(step: BatchStep): void {
        for (const sequence of [...this.running]) {
            const prefilled = step.prefill.get(sequence) ?? 0;
            if (sequence.remainingPrefill > 0) {
                this.prefill(sequence, prefilled);
            }
            if (sequence.remainingPrefill === 0 && sequence.request.sink.ready) {
                generateToken(sequence);
            }
        }
        this.running = this.running.filter(sequence => !sequence.complete);
    }

    /** Duration of a step with a number of running sequences and a number of tokens to prefill. */
    stepDuration(runningCount: number, prefillTokens: number): Milliseconds {
        const timeFactors = timeFactorsOf(this.currentRole());
        return this.options.stepMilliseconds
            + runningCount * this.options.stepMillisecondsPerRequest * timeFactors.decode
            + prefillTokens * this.options.prefillMillisecondsPerToken * timeFactors.prefill;
    }

    private ensureSlotFor(next: Sequence | undefined): boolean {
        if (next === undefined || this.running.length < this.options.maximumRunning) {
            return next !== undefined;
        }
        const victim = [...this.running].sort(compareByPriority).at(-1);
        if (victim === undefined || victim.request.priority <= next.request.priority) {
            return false;
        }
        victim.preemptions++;
        this.running = this.running.filter(member => member !== victim);
        this.waiting.push(victim);
        return true;
    }

    private startRunning(sequence: Sequence): void {
        const { digests, promptTokens, importedTokens } = sequence.request;
        const cachedTokens = Math.min(this.cache.match(digests), promptTokens);
        sequence.cachedTokens ??= cachedTokens;
        const reusableTokens = Math.max(cachedTokens, sequence.preemptions === 0 ? importedTokens : 0);
        sequence.remainingPrefill = Math.max(0, sequence.contextTokens - reusableTokens);
        this.running.push(sequence);
    }

    private prefill(sequence: Sequence, tokens: number): void {
        sequence.remainingPrefill -= tokens;
        sequence.prefilledTokens += tokens;
        if (sequence.remainingPrefill === 0) {
            this.cache.store(sequence.request.digests);
        }
    }
}

function generateToken(sequence: Sequence): void {
    const number = sequence.nextToken;
    sequence.nextToken++;
    const { completion, sink } = sequence.request;
    sink.push({ number, text: completion.token(number), finish: sequence.complete ? sequence.finish : undefined });
}
