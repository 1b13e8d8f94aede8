import { z } from "zod";

/** An IP address and a port, such as `127.0.0.1:7000` or `[::1]:7000`; port 0 selects a free port. */
export const addressSchema = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7000",
);

/** Name of a cluster, process or other configured object. */
export const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "must be 1 to 63 lower-case letters, digits or hyphens",
);

/** Format of the log. */
export const logStyleSchema = z.enum(["json", "pretty", "hidden"]).default("json")
    .describe("Log format: JSON lines, text for a terminal, or no output.");

/** Settings that `gullhall-control` and `gullhall-entry` share. */
export const commonSettings = {
    cluster: nameSchema.describe("Name of the deployment; connections from processes of other clusters are rejected."),
    name: nameSchema.describe("Name of this process, unique in the cluster."),
    failureDomain: nameSchema.describe("Failure domain of the VM."),
    logStyle: logStyleSchema,
};
