import type { Milliseconds } from "../../../util/clock.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import { TimeHistogram } from "../../metrics/timeHistogram.js";

/** Counted events of calls and attempts; values of the label `event` of `gullhall_calls_total`. */
const countedEvents = ["dispatched", "answered", "refused", "failed", "left", "attemptFailed", "relayed"] as const;

/** An event of a call or attempt that is counted. */
export type CountedEvent = (typeof countedEvents)[number];

/** Numbers of calls by how they ended. */
export type CallCounts = Readonly<Record<"answered" | "refused" | "failed" | "left", number>>;

/** Metrics of an entry's calls since its start. */
export class EntryCounters {
    private readonly counts = new Map<CountedEvent, number>();
    private readonly times = new TimeHistogram();

    count(event: CountedEvent): void {
        this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
    }

    /** Records the time from a call's arrival to the end of its response. */
    recordTime(time: Milliseconds): void {
        this.times.record(time);
    }

    /** Number of calls that have ended since the start, by how they ended. */
    endedCalls(): CallCounts {
        const countOf = (event: CountedEvent): number => this.counts.get(event) ?? 0;
        return {
            answered: countOf("answered"),
            refused: countOf("refused"),
            failed: countOf("failed"),
            left: countOf("left"),
        };
    }

    write(writer: ExpositionWriter): void {
        writer.family("gullhall_calls_total", "counter", "Calls and attempts by what became of them.");
        writer.family("gullhall_call_seconds", "summary", "Time from a call's arrival to the end of its answer.");
        for (const event of countedEvents) {
            writer.sample("gullhall_calls_total", { event }, this.counts.get(event) ?? 0);
        }
        this.times.write(writer, "gullhall_call_seconds", {});
    }
}
