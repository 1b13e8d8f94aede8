import { z } from "zod";
import { addressSchema } from "./commonSettings.js";

/** Schema of the settings of `gullhall`, the command line for operators. */
export const operatorSettingsSchema = z.strictObject({
    controlAddresses: z.array(addressSchema).min(1).readonly().describe("Operator addresses of the control processes."),
    tokenFile: z.string().min(1).optional().describe("File that contains only the operator's token."),
}).readonly();

/** Settings of `gullhall`. */
export type OperatorSettings = z.output<typeof operatorSettingsSchema>;
