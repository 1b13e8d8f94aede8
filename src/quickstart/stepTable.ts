import type { Clock, Milliseconds } from "../util/clock.js";

interface StepResult {
    readonly title: string;
    readonly result: string;
    readonly duration: Milliseconds;
    readonly asExpected: boolean;
}

/** Maximum length of a printed result, in characters. */
const maximumResultLength = 60;

/** Records the result and the duration of each step of the quickstart. */
export class StepTable {
    private readonly results: StepResult[] = [];

    constructor(private readonly clock: Clock) {}

    /** Whether every step had the expected result. */
    get allAsExpected(): boolean {
        return this.results.every(step => step.asExpected);
    }

    /** Runs a step and records its result. A step that throws is recorded as failed, and its error is thrown again. */
    async run<T>(title: string, step: () => Promise<T>, isExpected: (result: T) => boolean): Promise<T> {
        const start = this.clock.now();
        try {
            const result = await step();
            this.record(title, result, start, isExpected(result));
            return result;
        }
        catch (error) {
            this.record(title, String(error), start, false);
            throw error;
        }
    }

    private record(title: string, result: unknown, start: Milliseconds, asExpected: boolean): void {
        this.results.push({ title, result: formatResult(result), duration: this.clock.now() - start, asExpected });
    }

    /** Prints the table to standard output, one line for each step. */
    print(): void {
        for (const { title, result, duration, asExpected } of this.results) {
            const mark = asExpected ? "ok" : "WRONG";
            process.stdout.write(
                `${mark.padEnd(6)}${title.padEnd(42)}${duration.toFixed(1).padStart(8)} ms  ${result}\n`,
            );
        }
    }
}

function formatResult(result: unknown): string {
    const text = typeof result === "string" ? result : JSON.stringify(result);
    const singleLine = text.trim().replace(/\s*\n\s*/g, "; ");
    return singleLine.length <= maximumResultLength ? singleLine : `${singleLine.slice(0, maximumResultLength - 1)}…`;
}
