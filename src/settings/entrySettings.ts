import { z } from "zod";
import { addressSchema, commonSettings } from "./commonSettings.js";

/** Schema of the settings of `gullhall-entry`. */
export const entrySettingsSchema = z.strictObject({
    ...commonSettings,
    callerAddress: addressSchema.describe("Address on which callers send requests over HTTP."),
    metricsAddress: addressSchema.default("127.0.0.1:0").describe("Address that serves metrics and state over HTTP."),
    controlAddresses: z.array(addressSchema).readonly().describe(
        "Addresses on which the control processes accept entries.",
    ),
    maximumBodyBytes: z.int().positive().default(4 * 1024 * 1024).describe("Maximum size of a request body, in bytes."),
    discoverySeconds: z.int().positive().default(10).describe(
        "How long callers may cache the list of entries, in seconds.",
    ),
}).readonly();

/** Settings of `gullhall-entry`. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
