import type { Clock, Milliseconds } from "../util/clock.js";

interface TourLine {
    readonly tried: string;
    readonly answer: string;
    readonly time: Milliseconds;
    readonly asExpected: boolean;
}

/** Longest shown answer, in characters. */
const maximumAnswerCharacters = 60;

/** Gathers what a tour tried, what came back, and how long it took. */
export class TourTable {
    private readonly lines: TourLine[] = [];

    constructor(private readonly clock: Clock) {}

    /** Whether every line came out as it must. */
    get allAsExpected(): boolean {
        return this.lines.every(line => line.asExpected);
    }

    /** Runs a step and records it; a step that throws is recorded as wrong and ends the tour. */
    async run<T>(tried: string, step: () => Promise<T>, expected: (answer: T) => boolean): Promise<T> {
        const start = this.clock.now();
        try {
            const answer = await step();
            this.record(tried, answer, start, expected(answer));
            return answer;
        }
        catch (error) {
            this.record(tried, String(error), start, false);
            throw error;
        }
    }

    private record(tried: string, answer: unknown, start: Milliseconds, asExpected: boolean): void {
        this.lines.push({ tried, answer: shorten(answer), time: this.clock.now() - start, asExpected });
    }

    /** Prints the table on standard output. */
    print(): void {
        for (const { tried, answer, time, asExpected } of this.lines) {
            const mark = asExpected ? "ok" : "WRONG";
            process.stdout.write(`${mark.padEnd(6)}${tried.padEnd(42)}${time.toFixed(1).padStart(8)} ms  ${answer}\n`);
        }
    }
}

function shorten(answer: unknown): string {
    const text = typeof answer === "string" ? answer : JSON.stringify(answer);
    const line = text.trim().replace(/\s*\n\s*/g, "; ");
    return line.length <= maximumAnswerCharacters ? line : `${line.slice(0, maximumAnswerCharacters - 1)}…`;
}
