import { once } from "node:events";
import process from "node:process";
import { z } from "zod";
import type { StandInServer } from "./standInServer.js";

/** How long running requests may take to end after a signal, in milliseconds. */
const longestDrain = 5_000;

/** The flags that every role of `gullhall-stand-in` knows. */
export interface StandInFlags {
    readonly port: number;
    readonly name: string | undefined;
    /** Further options of the role as a JSON object. */
    readonly options: string;
}

/**
 * Runs a stand-in as the work of this process until SIGTERM or SIGINT.
 *
 * @param create Makes the stand-in from the options of the command line; throws on options that it does not know.
 */
export async function runStandIn(
    role: string,
    flags: StandInFlags,
    create: (options: Readonly<Record<string, unknown>>) => StandInServer,
): Promise<void> {
    const name = flags.name ?? role;
    const further = z.record(z.string(), z.unknown()).parse(JSON.parse(flags.options));
    await using standIn = create({ ...further, name });
    const address = await standIn.start(flags.port);
    process.stdout.write(`${JSON.stringify({ role, name, address })}\n`);
    await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
    await standIn.drain(longestDrain);
}
