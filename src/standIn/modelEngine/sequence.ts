import type { CompletionFinish } from "./completionFormat.js";
import type { DeterministicCompletion } from "./deterministicCompletion.js";

/** Why a sequence ended. */
export type SequenceEndReason = "finished" | "cancelled" | "crashed";

/** A token that an engine generated. */
export interface GeneratedToken {
    /** Number of the token in the whole completion, starting at 0. */
    readonly number: number;
    readonly text: string;
    /** Finish reason and usage; set on the last token only. */
    readonly finish: CompletionFinish | undefined;
}

/** Receives the tokens of one sequence. */
export abstract class TokenSink {
    /** Whether another token may be generated; false while the client reads too slowly. */
    abstract get ready(): boolean;

    /** Receives the next token. */
    abstract push(token: GeneratedToken): void;

    /** Finishes a completion without a further token, as when it was resumed after its last token. */
    abstract finish(finish: CompletionFinish): void;

    /** Ends an incomplete completion; no more tokens follow. */
    abstract abort(reason: Exclude<SequenceEndReason, "finished">): void;
}

/** The immutable part of a sequence, known when its request arrives. */
export interface SequenceRequest {
    readonly id: string;
    readonly model: string;
    readonly prompt: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly completion: DeterministicCompletion;
    /** Number of the first token to generate. */
    readonly firstToken: number;
    /** Number of the token after the last one to generate. */
    readonly endToken: number;
    readonly promptTokens: number;
    /** Digests of the cacheable prefixes of the prompt, shortest first. */
    readonly digests: readonly string[];
    /** Number of context tokens that were imported from another engine. */
    readonly importedTokens: number;
    readonly sink: TokenSink;
}

/** A request in an engine: waiting, running or preempted. */
export class Sequence {
    /** Number of the next token to generate. */
    nextToken: number;
    /** Number of tokens to prefill before the next token can be generated. */
    remainingPrefill = 0;
    /** Number of prompt tokens found in the prefix cache at the first admission; undefined before it. */
    cachedTokens: number | undefined;
    /** Number of context tokens prefilled so far. */
    prefilledTokens = 0;
    /** Number of times that the sequence was preempted. */
    preemptions = 0;

    /** @param arrival Sequence number of the arrival at the engine; breaks ties between equal priorities. */
    constructor(readonly request: SequenceRequest, readonly arrival: number) {
        this.nextToken = request.firstToken;
    }

    /** Number of tokens to prefill when the sequence is admitted with an empty cache: prompt and generated tokens. */
    get contextTokens(): number {
        return this.request.promptTokens + this.nextToken;
    }

    /** Finish reason and usage as of the last generated token. */
    get finish(): CompletionFinish {
        const { completion, endToken, promptTokens } = this.request;
        const usage = {
            prompt_tokens: promptTokens,
            completion_tokens: this.nextToken,
            cached_tokens: this.cachedTokens ?? 0,
        };
        return { reason: endToken < completion.fullTokenCount ? "length" : "stop", usage };
    }

    /** Whether all tokens were generated. */
    get complete(): boolean {
        return this.nextToken >= this.request.endToken;
    }
}

/** Compares sequences by scheduling order: lower priority number first, then earlier arrival. */
export function compareByPriority(left: Sequence, right: Sequence): number {
    return left.request.priority - right.request.priority || left.arrival - right.arrival;
}
