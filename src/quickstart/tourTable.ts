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

    /** Runs a step and records it. */
    async run<T>(tried: string, step: () => Promise<T>, expected: (answer: T) => boolean): Promise<T> {
        const start = this.clock.now();
        const answer = await step();
        const time = this.clock.now() - start;
        this.lines.push({ tried, answer: shorten(answer), time, asExpected: expected(answer) });
        return answer;
    }

    /** Prints the table on standard output. */
    print(): void {
        for (const { tried, answer, time, asExpected } of this.lines) {
            const mark = asExpected ? "ok" : "WRONG";
            process.stdout.write(`${mark.padEnd(6)}${tried.padEnd(32)}${time.toFixed(1).padStart(8)} ms  ${answer}\n`);
        }
    }
}

function shorten(answer: unknown): string {
    return JSON.stringify(answer).slice(0, maximumAnswerCharacters);
}
