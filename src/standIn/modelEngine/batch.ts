import type { Milliseconds } from "../../util/clock.js";
import type { EngineOptions } from "./engineOptions.js";
import type { PrefixCache } from "./prefixCache.js";
import { effectOf } from "./roleEffect.js";
import { compareUrgency, Sequence } from "./sequence.js";
import type { SequenceEnd, SequenceRequest } from "./sequence.js";

/** What one step of a batch does: the tokens prefilled for each sequence, and how long it takes. */
export interface BatchStep {
    readonly prefill: ReadonlyMap<Sequence, number>;
    readonly duration: Milliseconds;
}

/**
 * The running batch of an engine and the sequences that wait for it (continuous batching, Yu et al., Orca, OSDI 2022).
 *
 * Between two steps finished sequences leave and waiting ones enter. When the batch is full, a more urgent waiting
 * sequence takes the place of the least urgent running one, which waits again and later continues where it stopped.
 */
export class Batch {
    private running: Sequence[] = [];
    private waiting: Sequence[] = [];
    private arrivals = 0;

    /** @param roleOf The role of the engine at present. */
    constructor(
        private readonly options: EngineOptions,
        private readonly cache: PrefixCache,
        private readonly roleOf: () => EngineOptions["role"],
    ) {}

    get runningCount(): number {
        return this.running.length;
    }

    get waitingCount(): number {
        return this.waiting.length;
    }

    /** The sequences of the batch. */
    get members(): readonly Sequence[] {
        return this.running;
    }

    /** Takes a request in; undefined when too many wait already. */
    submit(request: SequenceRequest): Sequence | undefined {
        const room = this.options.maximumRunning - this.running.length + this.options.maximumWaiting;
        if (this.waiting.length >= room) {
            return undefined;
        }
        const sequence = new Sequence(request, this.arrivals++);
        this.waiting.push(sequence);
        return sequence;
    }

    /** Removes a sequence and tells its sink; false when it is not here. */
    remove(sequence: Sequence, reason: Exclude<SequenceEnd, "finished">): boolean {
        const present = this.running.includes(sequence) || this.waiting.includes(sequence);
        this.running = this.running.filter(member => member !== sequence);
        this.waiting = this.waiting.filter(member => member !== sequence);
        if (present) {
            sequence.request.sink.end(reason);
        }
        return present;
    }

    /** Finds a sequence by its request's id. */
    find(id: string): Sequence | undefined {
        return [...this.running, ...this.waiting].find(sequence => sequence.request.id === id);
    }

    /** Ends every sequence. */
    clear(reason: Exclude<SequenceEnd, "finished">): void {
        for (const sequence of [...this.running, ...this.waiting]) {
            this.remove(sequence, reason);
        }
    }

    /** Fills the batch from the waiting sequences, preempting where needed. */
    admit(): void {
        this.waiting.sort(compareUrgency);
        while (this.waiting.length > 0 && this.makeRoomFor(this.waiting[0])) {
            const [next] = this.waiting.splice(0, 1);
            if (next !== undefined) {
                this.enter(next);
            }
        }
    }

    /** What the next step does; nothing changes yet. */
    plan(): BatchStep {
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

    /** Carries a planned step out: counts prefilled tokens and makes one token of each ready sequence. */
    execute(step: BatchStep): void {
        for (const sequence of [...this.running]) {
            const prefilled = step.prefill.get(sequence) ?? 0;
            if (sequence.remainingPrefill > 0) {
                this.prefill(sequence, prefilled);
            }
            if (sequence.remainingPrefill === 0 && sequence.request.sink.ready) {
                makeToken(sequence);
            }
        }
        this.running = this.running.filter(sequence => !sequence.complete);
    }

    /** Time of a step of a batch of a size that prefills a number of tokens. */
    stepDuration(size: number, prefillTokens: number): Milliseconds {
        const effect = effectOf(this.roleOf());
        return this.options.stepMilliseconds
            + size * this.options.stepMillisecondsPerRequest * effect.decode
            + prefillTokens * this.options.prefillMillisecondsPerToken * effect.prefill;
    }

    private makeRoomFor(next: Sequence | undefined): boolean {
        if (next === undefined || this.running.length < this.options.maximumRunning) {
            return next !== undefined;
        }
        const victim = [...this.running].sort(compareUrgency).at(-1);
        if (victim === undefined || victim.request.priority <= next.request.priority) {
            return false;
        }
        victim.preemptions++;
        this.running = this.running.filter(member => member !== victim);
        this.waiting.push(victim);
        return true;
    }

    private enter(sequence: Sequence): void {
        const { digests, promptTokens, importedTokens } = sequence.request;
        const held = Math.min(this.cache.match(digests), promptTokens);
        sequence.cachedTokens ??= held;
        const known = Math.max(held, sequence.preemptions === 0 ? importedTokens : 0);
        sequence.remainingPrefill = Math.max(0, sequence.contextTokens - known);
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

function makeToken(sequence: Sequence): void {
    const number = sequence.nextToken;
    sequence.nextToken++;
    const { plan, sink } = sequence.request;
    sink.take({ number, text: plan.token(number), finish: sequence.complete ? sequence.finish : undefined });
}
