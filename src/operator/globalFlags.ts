import type { Argv } from "yargs";
import type { CommandRunner } from "./commandRunner.js";

/** Flags that every command of `gullhall` accepts. */
export interface GlobalFlags {
    /** Whether output and errors are printed as JSON. */
    readonly json: boolean;
}

/** Registers a command with the parser; the runner executes it. */
export type CommandRegistrar = (program: Argv<GlobalFlags>, run: CommandRunner) => Argv<GlobalFlags>;
