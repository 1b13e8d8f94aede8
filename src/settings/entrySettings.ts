import { z } from "zod";
import { addressSchema, commonSettings } from "./commonSettings.js";

/** Schema of the settings of `gullhall-entry`. */
export const entrySettingsSchema = z.strictObject({
    ...commonSettings,
    callerAddress: addressSchema.describe("Where callers are answered, over HTTP."),
    metricsAddress: addressSchema.default("127.0.0.1:0").describe("Where metrics and state are shown, over HTTP."),
    controlAddresses: z.array(addressSchema).readonly().describe("Where the control processes accept entries."),
    maximumBodyBytes: z.int().positive().default(4 * 1024 * 1024).describe("Largest body of a request, in bytes."),
    discoverySeconds: z.int().positive().default(10).describe("How long callers may keep the list of entries."),
}).readonly();

/** Settings of `gullhall-entry`. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
