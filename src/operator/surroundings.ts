import type { Clock } from "../util/clock.js";
import { SystemClock } from "../util/clock.js";

/** What a command line runs in: its variables, its output and its clock. */
export abstract class Surroundings {
    /** Variables of the environment. */
    abstract readonly environment: Readonly<Record<string, string | undefined>>;
    abstract readonly clock: Clock;

    /** Writes a text to standard output. */
    abstract writeOutput(text: string): void;

    /** Writes a text to standard error. */
    abstract writeError(text: string): void;
}

/** The surroundings of this process. */
export class ProcessSurroundings extends Surroundings {
    override readonly environment = process.env;
    override readonly clock = new SystemClock();

    override writeOutput(text: string): void {
        process.stdout.write(text);
    }

    override writeError(text: string): void {
        process.stderr.write(text);
    }
}
