import { readFile } from "node:fs/promises";
import type { Options } from "yargs";
import { failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import { operatorSettingsSchema } from "../settings/operatorSettings.js";
import type { OperatorSettings } from "../settings/operatorSettings.js";
import { readSettings } from "../settings/readSettings.js";
import type { Clock } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { OperatorClient } from "./operatorClient.js";

/** The flags that say how control is reached. */
export const connectionOptions = {
    control: { type: "array", string: true, describe: "Operator addresses of control (or GULLHALL_CONTROL)" },
    "token-file": { type: "string", describe: "File that holds the operator's token (or GULLHALL_TOKEN)" },
    settings: { type: "string", describe: "Settings file of this command, JSON with comments (or GULLHALL_SETTINGS)" },
} as const satisfies Readonly<Record<string, Options>>;

/** The values of {@link connectionOptions}. */
export interface ConnectionFlags {
    readonly control: readonly string[] | undefined;
    readonly tokenFile: string | undefined;
    readonly settings: string | undefined;
}

/** The variables of the environment that stand in for flags. */
export type CommandEnvironment = Readonly<Record<string, string | undefined>>;

/** Makes the client from flags, environment and settings file, in this order of preference. */
export async function connectOperator(
    flags: ConnectionFlags,
    environment: CommandEnvironment,
    clock: Clock,
): Promise<Result<OperatorClient, readonly Failure[]>> {
    const settings = await readOperatorSettings(flags.settings ?? environment["GULLHALL_SETTINGS"]);
    if (settings.err) {
        return settings;
    }
    const listed = environment["GULLHALL_CONTROL"]?.split(/[\s,]+/).filter(address => address !== "");
    const addresses = flags.control ?? listed ?? settings.val?.controlAddresses ?? [];
    if (addresses.length === 0) {
        return Err([failure("controlAddressMissing")]);
    }
    const token = await readToken(flags.tokenFile, environment["GULLHALL_TOKEN"], settings.val?.tokenFile);
    return token.err ? Err([token.val]) : Ok(new OperatorClient(addresses, token.val, clock));
}

async function readOperatorSettings(
    file: string | undefined,
): Promise<Result<OperatorSettings | undefined, readonly Failure[]>> {
    return file === undefined ? Ok(undefined) : readSettings(file, operatorSettingsSchema);
}

async function readToken(
    flaggedFile: string | undefined,
    variable: string | undefined,
    settingsFile: string | undefined,
): Promise<Result<string, Failure>> {
    if (flaggedFile === undefined && variable !== undefined && variable !== "") {
        return Ok(variable);
    }
    const file = flaggedFile ?? settingsFile;
    if (file === undefined) {
        return Err(failure("tokenMissing"));
    }
    try {
        const token = (await readFile(file, "utf8")).trim();
        return token === "" ? Err(failure("tokenMissing")) : Ok(token);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return Err(failure("settingsUnreadable", { file, reason }));
    }
}
