import { exitFailure, exitSuccess } from "../util/exitCode.js";
import { Err } from "../util/result.js";
import type { CommandContext } from "./commandContext.js";
import { toCommandError } from "./commandError.js";
import { printResult } from "./commandResult.js";
import type { CommandResult } from "./commandResult.js";
import { createOperatorClient } from "./connectionFlags.js";
import type { ConnectionFlags } from "./connectionFlags.js";
import type { GlobalFlags } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";

/** Executes the command that the command line selects and keeps its exit code. */
export class CommandRunner {
    private lastExitCode = exitSuccess;

    constructor(readonly context: CommandContext) {}

    /** Exit code of the process. */
    get exitCode(): number {
        return this.lastExitCode;
    }

    /**
     * Runs a command and prints its output or its errors.
     *
     * @param failureCode Exit code if the command fails.
     */
    async execute(
        flags: GlobalFlags,
        command: () => CommandResult | Promise<CommandResult>,
        failureCode = exitFailure,
    ): Promise<void> {
        const result = await command();
        printResult(this.context, flags.json, result);
        this.lastExitCode = result.ok ? exitSuccess : failureCode;
    }

    /** Runs a command that calls the control processes. */
    async executeWithClient(
        flags: GlobalFlags & ConnectionFlags,
        command: (client: OperatorClient) => Promise<CommandResult>,
    ): Promise<void> {
        const { environment, clock } = this.context;
        await this.execute(flags, async () => {
            const client = await createOperatorClient(flags, environment, clock);
            return client.err ? Err(client.val.map(toCommandError)) : command(client.val);
        });
    }
}
