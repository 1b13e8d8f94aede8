import { exitFailure, exitSuccess } from "../util/exitCode.js";
import { Err } from "../util/result.js";
import { commandError } from "./commandError.js";
import { printResult } from "./commandResult.js";
import type { CommandResult } from "./commandResult.js";
import { connectOperator } from "./connectionFlags.js";
import type { ConnectionFlags } from "./connectionFlags.js";
import type { GlobalFlags } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import type { Surroundings } from "./surroundings.js";

/** One run of the command line: executes the chosen command and remembers the exit code. */
export class CommandRun {
    private code = exitSuccess;

    constructor(readonly surroundings: Surroundings) {}

    /** Exit code of the program. */
    get exitCode(): number {
        return this.code;
    }

    /**
     * Runs a command and prints its answer or its errors.
     *
     * @param failureCode Exit code when the command fails.
     */
    async execute(
        flags: GlobalFlags,
        command: () => CommandResult | Promise<CommandResult>,
        failureCode = exitFailure,
    ): Promise<void> {
        const result = await command();
        printResult(this.surroundings, flags.json, result);
        this.code = result.ok ? exitSuccess : failureCode;
    }

    /** Runs a command that asks control. */
    async executeConnected(
        flags: GlobalFlags & ConnectionFlags,
        command: (client: OperatorClient) => Promise<CommandResult>,
    ): Promise<void> {
        const { environment, clock } = this.surroundings;
        await this.execute(flags, async () => {
            const client = await connectOperator(flags, environment, clock);
            return client.err ? Err(client.val.map(commandError)) : command(client.val);
        });
    }
}
