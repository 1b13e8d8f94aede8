import { z } from "zod";

/** Schema of the options of a stand-in plain service; all options have defaults. */
export const plainServiceOptionsSchema = z.strictObject({
    name: z.string().default("service"),
    serviceMilliseconds: z.number().min(0).default(5).describe("Duration of an execution."),
    maximumRunning: z.int().positive().default(64).describe(
        "Maximum number of concurrent executions; further ones are rejected.",
    ),
    reportLagMilliseconds: z.number().min(0).default(500).describe(
        "Delay until a change is visible in the load report.",
    ),
}).readonly();

/** Validated options of a stand-in plain service. */
export type PlainServiceOptions = z.output<typeof plainServiceOptionsSchema>;

/** Options before validation; fields with defaults are optional. */
export type PlainServiceOptionsInput = z.input<typeof plainServiceOptionsSchema>;
