import { once } from "node:events";
import process from "node:process";
import { z } from "zod";
import { describeFailure, failure } from "../resultCode/resultCode.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import type { StandInServer } from "./standInServer.js";

/** How long running requests may take to end after a signal, in milliseconds. */
const longestDrain = 5_000;

/** The flags that every role of `gullhall-stand-in` knows. */
export interface StandInFlags {
    readonly port: number;
    readonly name: string | undefined;
    /** Further options of the role as a JSON object. */
    readonly options: string;
    /** Whether to end after the options were checked. */
    readonly checkSettings: boolean;
}

/** Makes a stand-in from the options of the command line; throws on options that it does not know. */
export type StandInMaker = (options: Readonly<Record<string, unknown>>) => StandInServer;

/** Runs a stand-in as the work of this process until SIGTERM or SIGINT. */
export async function runStandIn(role: string, flags: StandInFlags, create: StandInMaker): Promise<void> {
    const name = flags.name ?? role;
    const made = make(name, flags.options, create);
    if (made === undefined) {
        process.exitCode = exitUsage;
        return;
    }
    if (flags.checkSettings) {
        process.stdout.write("The options are valid.\n");
        return;
    }
    await using standIn = made;
    const stopped = Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
    try {
        const address = await standIn.start(flags.port);
        process.stdout.write(`${JSON.stringify({ role, name, address })}\n`);
    }
    catch (error) {
        process.stderr.write(`The ${role} cannot listen on port ${flags.port}: ${String(error)}\n`);
        process.exitCode = exitFailure;
        return;
    }
    await stopped;
    await standIn.drain(longestDrain);
}

function make(name: string, options: string, create: StandInMaker): StandInServer | undefined {
    try {
        return create({ ...z.record(z.string(), z.unknown()).parse(JSON.parse(options)), name });
    }
    catch (error) {
        const reason = error instanceof z.ZodError ? reasonsOf(error) : String(error);
        process.stderr.write(`${describeFailure(failure("optionsInvalid", { reason }))}\n`);
        return undefined;
    }
}

function reasonsOf(error: z.ZodError): string {
    return error.issues.map(issue => `${issue.path.map(String).join(".")}: ${issue.message}`).join("; ");
}
