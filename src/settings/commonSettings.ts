import { z } from "zod";
import { defaultConnectionLimits } from "../connection/server/connectionLimits.js";

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

/** Limits on what the clients of each listener may occupy. */
const connectionLimitsSchema = z.strictObject({
    maximumConnections: z.int().positive().default(defaultConnectionLimits.maximumConnections).describe(
        "Maximum number of connections of a listener; beyond it, idle ones are closed.",
    ),
    requestMemory: z.int().positive().default(defaultConnectionLimits.requestMemory).describe(
        "Memory for the requests of a listener that are under way, in bytes; further requests get status 503.",
    ),
    unreadTimeout: z.int().positive().default(defaultConnectionLimits.unreadTimeout).describe(
        "Time after which a connection is closed whose client reads nothing of its response, in milliseconds.",
    ),
}).readonly();

/** Settings that `gullhall-control` and `gullhall-entry` share. */
export const commonSettings = {
    cluster: nameSchema.describe("Name of the deployment; connections from processes of other clusters are rejected."),
    name: nameSchema.describe("Name of this process, unique in the cluster."),
    failureDomain: nameSchema.describe("Failure domain of the VM."),
    logStyle: logStyleSchema,
    connectionLimits: connectionLimitsSchema.prefault({}).describe("Limits for the clients of each listener for HTTP."),
};
