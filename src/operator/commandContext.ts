import type { Clock } from "../util/clock.js";
import { SystemClock } from "../util/clock.js";

/** Environment variables, output streams and clock of a command; tests replace them. */
export abstract class CommandContext {
    /** Environment variables by name. */
    abstract readonly environment: Readonly<Record<string, string | undefined>>;
    abstract readonly clock: Clock;

    /** Writes text to standard output. */
    abstract writeOutput(text: string): void;

    /** Writes text to standard error. */
    abstract writeError(text: string): void;
}

/** Context of a command that runs in this process. */
export class ProcessCommandContext extends CommandContext {
    override readonly environment = process.env;
    override readonly clock = new SystemClock();

    override writeOutput(text: string): void {
        process.stdout.write(text);
    }

    override writeError(text: string): void {
        process.stderr.write(text);
    }
}
