import { z } from "zod";

/** Schema of what a stand-in plain service is constructed with; everything has a default. */
export const plainServiceOptionsSchema = z.strictObject({
    name: z.string().default("service"),
    serviceMilliseconds: z.number().min(0).default(5).describe("Time that one execution takes."),
    maximumRunning: z.int().positive().default(64).describe("Executions at a time; more are refused."),
    reportLagMilliseconds: z.number().min(0).default(500).describe("Age of what the load report says."),
}).readonly();

/** What a stand-in plain service is constructed with. */
export type PlainServiceOptions = z.output<typeof plainServiceOptionsSchema>;

/** Options as callers write them, with defaults left out. */
export type PlainServiceOptionsInput = z.input<typeof plainServiceOptionsSchema>;
