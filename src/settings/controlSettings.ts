import { z } from "zod";
import { addressSchema, commonSettings, nameSchema } from "./commonSettings.js";

/** Schema of the settings of `gullhall-control`. */
export const controlSettingsSchema = z.strictObject({
    ...commonSettings,
    operatorAddress: addressSchema.describe("Where operators are answered, over HTTP."),
    entryAddress: addressSchema.describe("Where entries connect."),
    dataFolder: z.string().min(1).describe("Folder of the durable state."),
    operators: z.array(
        z.strictObject({
            name: nameSchema,
            tokenDigest: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal"),
        }).readonly(),
    ).readonly().describe("Operators and the SHA-256 digests of their tokens."),
}).readonly();

/** Settings of `gullhall-control`. */
export type ControlSettings = z.output<typeof controlSettingsSchema>;
