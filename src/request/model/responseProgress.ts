import type { EntryMetrics, SeriesLabels } from "../../process/entry/entryMetrics.js";
import type { Milliseconds } from "../../util/clock.js";

/** How far an answer has come to its caller, over all attempts. */
export class AnswerProgress {
    private readonly parts: string[] = [];
    private next = 0;
    private lastTokenAt: Milliseconds | undefined;

    /**
     * @param metrics Records the times to the first token and between tokens.
     * @param arrivedAt When the request arrived, in monotonic milliseconds.
     */
    constructor(
        private readonly metrics: EntryMetrics,
        private readonly labels: SeriesLabels,
        private readonly arrivedAt: Milliseconds,
    ) {}

    /** Number of the next token. */
    get nextToken(): number {
        return this.next;
    }

    /** Text of all tokens so far. */
    get text(): string {
        return this.parts.join("");
    }

    /** Records a token that is passed on. */
    take(content: string, now: Milliseconds): void {
        if (this.lastTokenAt === undefined) {
            this.metrics.recordTime(this.labels, "firstToken", now - this.arrivedAt);
        }
        else {
            this.metrics.recordTime(this.labels, "betweenTokens", now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
        this.parts.push(content);
        this.next++;
    }
}
