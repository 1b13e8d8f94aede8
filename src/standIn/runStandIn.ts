import process from "node:process";
import { z } from "zod";
import { failure, formatFailure } from "../resultCode/resultCode.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import type { StandInServer } from "./standInServer.js";

/** Maximum time for running requests to finish after a termination signal, in milliseconds. */
const drainTimeoutMilliseconds = 5_000;

/** The flags that all roles of `gullhall-stand-in` accept. */
export interface StandInFlags {
    readonly port: number;
    readonly name: string | undefined;
    /** Role-specific options as a JSON object. */
    readonly options: string;
    /** Whether to exit after validating the options. */
    readonly checkSettings: boolean;
}

/** Creates a stand-in from the options of the command line; throws when an option is unknown or invalid. */
export type StandInFactory = (options: Readonly<Record<string, unknown>>) => StandInServer;

/**
 * Runs a stand-in until a stop is requested, then drains it.
 *
 * Sets the exit code of the process when the options are invalid or the port cannot be bound.
 */
export async function runStandIn(
    role: string,
    flags: StandInFlags,
    stopRequested: Promise<unknown>,
    create: StandInFactory,
): Promise<void> {
    const name = flags.name ?? role;
    const created = createStandIn(name, flags.options, create);
    if (created === undefined) {
        process.exitCode = exitUsage;
        return;
    }
    if (flags.checkSettings) {
        process.stdout.write("The options are valid.\n");
        return;
    }
    await using standIn = created;
    try {
        const address = await standIn.start(flags.port);
        process.stdout.write(`${JSON.stringify({ role, name, address })}\n`);
    }
    catch (error) {
        process.stderr.write(`The ${role} cannot listen on port ${flags.port}: ${String(error)}\n`);
        process.exitCode = exitFailure;
        return;
    }
    await stopRequested;
    await standIn.drain(drainTimeoutMilliseconds);
}

function createStandIn(name: string, options: string, create: StandInFactory): StandInServer | undefined {
    try {
        return create({ ...z.record(z.string(), z.unknown()).parse(JSON.parse(options)), name });
    }
    catch (error) {
        const reason = error instanceof z.ZodError ? formatIssues(error) : String(error);
        process.stderr.write(`${formatFailure(failure("optionsInvalid", { reason }))}\n`);
        return undefined;
    }
}

function formatIssues(error: z.ZodError): string {
    return error.issues.map(issue => `${issue.path.map(String).join(".")}: ${issue.message}`).join("; ");
}
