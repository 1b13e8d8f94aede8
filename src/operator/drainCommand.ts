import { failure } from "../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { callControl } from "./callControl.js";
import { toCommandError } from "./commandError.js";
import type { CommandError } from "./commandError.js";
import type { CommandResult } from "./commandResult.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandRegistrar } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { drainResponseSchema, statusResponseSchema } from "./responseSchemas.js";

/** Interval at which the status of the entry is polled, in milliseconds. */
const pollInterval: Milliseconds = 200;

/** Maximum time for an entry to start draining, in milliseconds. */
const drainStartTimeout: Milliseconds = 10_000;

/** Progress of a drain. */
type DrainStage = "serving" | "draining" | "gone";

/** The processes of the entry that were running when the command started. A process started later is not drained. */
interface DrainTarget {
    readonly client: OperatorClient;
    readonly entry: string;
    readonly incarnations: ReadonlySet<string>;
    readonly clock: Clock;
}

/** Registers `gullhall drain ENTRY [--wait]`. */
export const registerDrainCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "drain <entry>",
        "Remove an entry from discovery and stop it gracefully without interrupting requests",
        builder =>
            builder
                .options(connectionOptions)
                .positional("entry", { type: "string", demandOption: true, describe: "Name of the entry" })
                .option("wait", {
                    type: "boolean",
                    default: false,
                    describe: "Wait until the process of the entry has exited",
                }),
        flags =>
            runner.executeWithClient(flags, client => drain(client, flags.entry, flags.wait, runner.context.clock)),
    );

async function drain(client: OperatorClient, entry: string, wait: boolean, clock: Clock): Promise<CommandResult> {
    const incarnations = await fetchIncarnations(client, entry);
    if (incarnations.err) {
        return incarnations;
    }
    const target = { client, entry, incarnations: new Set(incarnations.val), clock };
    const started = await startDrain(target);
    if (started.err) {
        return started;
    }
    const result = wait ? await waitUntilGone(target, started.val) : started;
    return result.map(stage => ({ value: { entry, stage }, lines: [`Entry ${entry}: ${stage}.`] }));
}

/**
 * Repeats the drain request until the entry drains: the leader keeps the request in memory, so a change of leader loses
 * it if the entry has not received it yet.
 */
async function startDrain(target: DrainTarget): Promise<Result<DrainStage, readonly CommandError[]>> {
    const { client, entry, clock } = target;
    const deadline = clock.now() + drainStartTimeout;
    const call = { method: "POST", path: "/v1/entries/drain", body: JSON.stringify({ entry }) };
    const accepted = await callControl(client, call, drainResponseSchema);
    if (accepted.err) {
        return Err(accepted.val);
    }
    while (clock.now() < deadline) {
        await clock.sleep(pollInterval);
        const stage = await fetchStage(target);
        if (stage.err || stage.val !== "serving") {
            return stage;
        }
        await callControl(client, call, drainResponseSchema);
    }
    return Err([toCommandError(failure("drainNotBegun", { entry }))]);
}

async function waitUntilGone(
    target: DrainTarget,
    initialStage: DrainStage,
): Promise<Result<DrainStage, readonly CommandError[]>> {
    let stage: Result<DrainStage, readonly CommandError[]> = Ok(initialStage);
    while (stage.ok && stage.val !== "gone") {
        await target.clock.sleep(pollInterval);
        stage = await fetchStage(target);
    }
    return stage;
}

/**
 * Fetches the progress of the drain. A process that the status does not list counts as gone only if the list of entries
 * is complete; after a change of leader it is not complete at first.
 */
async function fetchStage(target: DrainTarget): Promise<Result<DrainStage, readonly CommandError[]>> {
    const status = await callControl(target.client, { method: "GET", path: "/v1/status" }, statusResponseSchema);
    if (status.err) {
        return Err(status.val);
    }
    const { entries, entriesComplete } = status.val;
    const processes = entries.filter(({ incarnation }) => target.incarnations.has(incarnation));
    if (processes.length === 0) {
        return Ok(entriesComplete ? "gone" : "serving");
    }
    return Ok(processes.every(entryStatus => entryStatus.draining) ? "draining" : "serving");
}

async function fetchIncarnations(
    client: OperatorClient,
    entry: string,
): Promise<Result<readonly string[], readonly CommandError[]>> {
    const status = await callControl(client, { method: "GET", path: "/v1/status" }, statusResponseSchema);
    if (status.err) {
        return Err(status.val);
    }
    const processes = status.val.entries.filter(entryStatus => entryStatus.entry === entry);
    return processes.length === 0
        ? Err([toCommandError(failure("entryUnknown", { entry }))])
        : Ok(processes.map(({ incarnation }) => incarnation));
}
