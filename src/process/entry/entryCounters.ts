import type { ExpositionWriter } from "../metrics/expositionWriter.js";

/** Counters over all requests and their help texts; the metric names are derived from the keys. */
const counterHelpTexts = {
    firstAttempts: "Requests that asked for an endpoint.",
    retries: "Attempts after one that gave the caller nothing.",
    resumes: "Attempts that resumed an answer at its next token.",
    preemptions: "Running requests that were interrupted for a higher tier.",
    foreignAnswers: "Parts of answers to other requests that were dropped.",
    malformedAnswers: "Answers that broke off or were malformed.",
    stalledAnswers: "Answers that stood still for too long.",
    callersCut: "Callers that were cut off because they did not take their answer.",
    callersRefused: "Callers whose bytes did not become a request.",
    claimsRepeated: "Repeats that got a stored answer.",
    claimsUnconfirmed: "Requests that were refused because their claim was not confirmed.",
} as const;

/** Name of a counter. */
export type EntryCounter = keyof typeof counterHelpTexts;

const counterNames = Object.keys(counterHelpTexts) as readonly EntryCounter[];

/** Counters of an entry, aggregated over all classes and teams. */
export class EntryCounters {
    private readonly counts = new Map<EntryCounter, number>();

    /** Increments a counter. */
    count(counter: EntryCounter, increment = 1): void {
        this.counts.set(counter, this.countOf(counter) + increment);
    }

    /** Returns the current value of a counter. */
    countOf(counter: EntryCounter): number {
        return this.counts.get(counter) ?? 0;
    }

    /** Writes all counters, including those at 0. */
    write(writer: ExpositionWriter): void {
        for (const counter of counterNames) {
            const name = `gullhall_${counter.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}_total`;
            writer.family(name, "counter", counterHelpTexts[counter]);
            writer.sample(name, {}, this.countOf(counter));
        }
    }
}
