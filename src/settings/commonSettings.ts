import { z } from "zod";

/** An IP number and a port, as `127.0.0.1:7000` or `[::1]:7000`; port 0 takes a free port. */
export const addressSchema = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7000",
);

/** A name in settings. */
export const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "must be 1 to 63 lower-case letters, digits or hyphens",
);

/** How log lines are written. */
export const logStyleSchema = z.enum(["json", "pretty", "hidden"]).default("json")
    .describe("JSON objects for programs, text for a terminal, or no lines.");

/** What the settings of every program contain. */
export const commonSettings = {
    cluster: nameSchema.describe("Name of the deployment; processes of other clusters are refused."),
    name: nameSchema.describe("Name of this process, unique in the cluster."),
    failureDomain: nameSchema.describe("Failure domain of the VM."),
    logStyle: logStyleSchema,
};
