import { failure } from "../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { controlStatusSchema, drainSchema } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import { commandError } from "./commandError.js";
import type { CommandError } from "./commandError.js";
import type { CommandResult } from "./commandResult.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandAdder } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";

/** Pause between two looks at the entry, in milliseconds. */
const lookInterval: Milliseconds = 200;

/** Longest time until an entry must have begun to drain, in milliseconds. */
const beginTimeout: Milliseconds = 10_000;

/** How an entry stands on its way out. */
type DrainStage = "serving" | "draining" | "gone";

/** The processes of an entry that are watched on their way out. */
interface DrainWatch {
    readonly client: OperatorClient;
    readonly entry: string;
    readonly incarnations: ReadonlySet<string>;
    readonly clock: Clock;
}

/** Adds `gullhall drain ENTRY [--wait]`. */
export const addDrainCommand: CommandAdder = (program, run) =>
    program.command(
        "drain <entry>",
        "Take an entry out of discovery and stop it gracefully; no request is cut",
        builder =>
            builder
                .options(connectionOptions)
                .positional("entry", { type: "string", demandOption: true, describe: "Name of the entry" })
                .option("wait", { type: "boolean", default: false, describe: "Return when the entry has ended" }),
        flags => run.executeConnected(flags, client => drain(client, flags.entry, flags.wait, run.surroundings.clock)),
    );

async function drain(client: OperatorClient, entry: string, wait: boolean, clock: Clock): Promise<CommandResult> {
    const found = await processesOf(client, entry);
    if (found.err) {
        return found;
    }
    const watch = { client, entry, incarnations: new Set(found.val), clock };
    const begun = await beginDrain(watch);
    if (begun.err) {
        return begun;
    }
    const ended = wait ? await waitUntilGone(watch, begun.val) : begun;
    return ended.map(stage => ({ value: { entry, stage }, lines: [`Entry ${entry}: ${stage}.`] }));
}

/** Asks until the entry drains: a change of leader may lose a wish that the entry has not heard of. */
async function beginDrain(watch: DrainWatch): Promise<Result<DrainStage, readonly CommandError[]>> {
    const { client, entry, clock } = watch;
    const end = clock.now() + beginTimeout;
    const call = { method: "POST", path: "/v1/entries/drain", body: JSON.stringify({ entry }) };
    const asked = await askControl(client, call, drainSchema);
    if (asked.err) {
        return Err(asked.val);
    }
    while (clock.now() < end) {
        await clock.sleep(lookInterval);
        const stage = await lookAt(watch);
        if (stage.err || stage.val !== "serving") {
            return stage;
        }
        await askControl(client, call, drainSchema);
    }
    return Err([commandError(failure("drainNotBegun", { entry }))]);
}

async function waitUntilGone(
    watch: DrainWatch,
    begun: DrainStage,
): Promise<Result<DrainStage, readonly CommandError[]>> {
    let stage: Result<DrainStage, readonly CommandError[]> = Ok(begun);
    while (stage.ok && stage.val !== "gone") {
        await watch.clock.sleep(lookInterval);
        stage = await lookAt(watch);
    }
    return stage;
}

/** Looks at the processes that ran when the command began; a new start of the entry is another matter. */
async function lookAt(watch: DrainWatch): Promise<Result<DrainStage, readonly CommandError[]>> {
    const status = await askControl(watch.client, { method: "GET", path: "/v1/status" }, controlStatusSchema);
    if (status.err) {
        return Err(status.val);
    }
    const { entries, entriesComplete } = status.val;
    const processes = entries.filter(({ incarnation }) => watch.incarnations.has(incarnation));
    if (processes.length === 0) {
        return Ok(entriesComplete ? "gone" : "serving");
    }
    return Ok(processes.every(standing => standing.draining) ? "draining" : "serving");
}

async function processesOf(
    client: OperatorClient,
    entry: string,
): Promise<Result<readonly string[], readonly CommandError[]>> {
    const status = await askControl(client, { method: "GET", path: "/v1/status" }, controlStatusSchema);
    if (status.err) {
        return Err(status.val);
    }
    const processes = status.val.entries.filter(standing => standing.entry === entry);
    return processes.length === 0
        ? Err([commandError(failure("entryUnknown", { entry }))])
        : Ok(processes.map(({ incarnation }) => incarnation));
}
