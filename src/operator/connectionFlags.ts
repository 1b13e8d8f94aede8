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

/** Definitions of the flags that configure the connection to the control processes. */
export const connectionOptions = {
    control: {
        type: "array",
        string: true,
        describe: "Operator addresses of the control processes (or GULLHALL_CONTROL)",
    },
    "token-file": { type: "string", describe: "File with the operator token (or GULLHALL_TOKEN)" },
    settings: { type: "string", describe: "Settings file of this command, JSON with comments (or GULLHALL_SETTINGS)" },
} as const satisfies Readonly<Record<string, Options>>;

/** Parsed values of {@link connectionOptions}. */
export interface ConnectionFlags {
    readonly control: readonly string[] | undefined;
    readonly tokenFile: string | undefined;
    readonly settings: string | undefined;
}

/** Environment variables, some of which replace flags. */
export type EnvironmentVariables = Readonly<Record<string, string | undefined>>;

/** Creates a client. Flags take precedence over environment variables, and these over the settings file. */
export async function createOperatorClient(
    flags: ConnectionFlags,
    environment: EnvironmentVariables,
    clock: Clock,
): Promise<Result<OperatorClient, readonly Failure[]>> {
    const settings = await readOperatorSettings(flags.settings ?? environment["GULLHALL_SETTINGS"]);
    if (settings.err) {
        return settings;
    }
    const environmentAddresses = environment["GULLHALL_CONTROL"]?.split(/[\s,]+/).filter(address => address !== "");
    const addresses = flags.control ?? environmentAddresses ?? settings.val?.controlAddresses ?? [];
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
    flagFile: string | undefined,
    environmentToken: string | undefined,
    settingsFile: string | undefined,
): Promise<Result<string, Failure>> {
    if (flagFile === undefined && environmentToken !== undefined && environmentToken !== "") {
        return Ok(environmentToken);
    }
    const file = flagFile ?? settingsFile;
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
