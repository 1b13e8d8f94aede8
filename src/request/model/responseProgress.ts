import type { EntryMetrics, SeriesLabels } from "../../process/entry/entryMetrics.js";
import type { Milliseconds } from "../../util/clock.js";

/** Tracks the tokens of a response that were forwarded to the caller, across all attempts. */
export class ResponseProgress {
    private readonly tokenTexts: string[] = [];
    private tokenCount = 0;
    private lastTokenAt: Milliseconds | undefined;

    /**
     * @param metrics Records the time to the first token and the times between tokens.
     * @param arrivedAt When the request arrived, in monotonic milliseconds.
     */
    constructor(
        private readonly metrics: EntryMetrics,
        private readonly labels: SeriesLabels,
        private readonly arrivedAt: Milliseconds,
    ) {}

    /** Number of the next token, counted from 0. */
    get nextToken(): number {
        return this.tokenCount;
    }

    /** Concatenated text of all forwarded tokens. */
    get text(): string {
        return this.tokenTexts.join("");
    }

    /** Records a forwarded token and its latency; `now` is in monotonic milliseconds. */
    recordToken(content: string, now: Milliseconds): void {
        if (this.lastTokenAt === undefined) {
            this.metrics.recordTime(this.labels, "firstToken", now - this.arrivedAt);
        }
        else {
            this.metrics.recordTime(this.labels, "betweenTokens", now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
        this.tokenTexts.push(content);
        this.tokenCount++;
    }
}
