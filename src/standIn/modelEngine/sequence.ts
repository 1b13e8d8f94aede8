import type { AnswerFinish } from "./answerChunk.js";
import type { AnswerPlan } from "./answerPlan.js";

/** How a sequence left the batch. */
export type SequenceEnd = "finished" | "cancelled" | "crashed";

/** A token that an engine has made. */
export interface MadeToken {
    /** Counted from 0 over the whole answer. */
    readonly number: number;
    readonly text: string;
    /** How the answer ends, with the final token alone. */
    readonly finish: AnswerFinish | undefined;
}

/** Receives the tokens of one sequence. */
export abstract class TokenSink {
    /** Whether another token may be made; false while the reader is slow. */
    abstract get ready(): boolean;

    /** Takes the next token. */
    abstract take(token: MadeToken): void;

    /** Told that the answer is whole although no token was made: it was resumed after its last token. */
    abstract finish(finish: AnswerFinish): void;

    /** Told that no more tokens come although the answer is not whole. */
    abstract end(reason: Exclude<SequenceEnd, "finished">): void;
}

/** What is fixed when a request arrives at an engine. */
export interface SequenceRequest {
    readonly id: string;
    readonly model: string;
    readonly prompt: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly plan: AnswerPlan;
    /** Number of the first token to make. */
    readonly firstToken: number;
    /** Number after the last token to make. */
    readonly endToken: number;
    readonly promptTokens: number;
    /** Digests of the prompt's prefixes that the cache may hold, shortest first. */
    readonly digests: readonly string[];
    /** Tokens of context that were imported from another engine. */
    readonly importedTokens: number;
    readonly sink: TokenSink;
}

/** One request inside an engine: waiting, running, or preempted. */
export class Sequence {
    /** Number of the token that is made next. */
    nextToken: number;
    /** Tokens whose state must be computed before the next token can be made. */
    remainingPrefill = 0;
    /** Prompt tokens that the prefix cache saved at the first admission; undefined before it. */
    cachedTokens: number | undefined;
    /** Tokens of context that were computed so far. */
    prefilledTokens = 0;
    /** How often it was pushed out of the batch. */
    preemptions = 0;

    /** @param arrival Position in the order of arrival at the engine. */
    constructor(readonly request: SequenceRequest, readonly arrival: number) {
        this.nextToken = request.firstToken;
    }

    /** Tokens that are computed again when the sequence enters the batch with an empty cache. */
    get contextTokens(): number {
        return this.request.promptTokens + this.nextToken;
    }

    /** How the answer ends, as of its last token. */
    get finish(): AnswerFinish {
        const { plan, endToken, promptTokens } = this.request;
        const usage = {
            prompt_tokens: promptTokens,
            completion_tokens: this.nextToken,
            cached_tokens: this.cachedTokens ?? 0,
        };
        return { reason: endToken < plan.naturalLength ? "length" : "stop", usage };
    }

    /** Whether all tokens were made. */
    get complete(): boolean {
        return this.nextToken >= this.request.endToken;
    }
}

/** Orders sequences by urgency: lower priority number first, then earlier arrival. */
export function compareUrgency(left: Sequence, right: Sequence): number {
    return left.request.priority - right.request.priority || left.arrival - right.arrival;
}
