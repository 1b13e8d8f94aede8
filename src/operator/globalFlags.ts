import type { Argv } from "yargs";
import type { CommandRun } from "./commandRun.js";

/** Flags that every command of `gullhall` knows. */
export interface GlobalFlags {
    /** Whether answers and errors are printed as JSON. */
    readonly json: boolean;
}

/** Adds a command to the command line. */
export type CommandAdder = (program: Argv<GlobalFlags>, run: CommandRun) => Argv<GlobalFlags>;
