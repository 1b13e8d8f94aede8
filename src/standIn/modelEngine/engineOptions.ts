import { z } from "zod";

/** Schema of the options of a stand-in model engine; all options have defaults. */
export const engineOptionsSchema = z.strictObject({
    name: z.string().default("engine"),
    models: z.array(z.string()).min(1).readonly().default(["stand-in"]).describe(
        "Models that are loaded at the start.",
    ),
    version: z.string().default("1"),
    adapters: z.array(z.string()).readonly().default([]),
    role: z.enum(["mixed", "prefill", "decode"]).default("mixed"),
    maximumRunning: z.int().positive().default(32).describe("Maximum number of requests in the batch."),
    maximumWaiting: z.int().min(0).default(256).describe(
        "Maximum number of requests that wait for the batch; further ones are rejected.",
    ),
    stepMilliseconds: z.number().positive().default(8).describe("Base duration of a step."),
    stepMillisecondsPerRequest: z.number().min(0).default(0.25).describe(
        "Added to a step for each request in the batch.",
    ),
    prefillMillisecondsPerToken: z.number().min(0).default(0.02),
    prefillTokensPerStep: z.int().positive().default(1024),
    cacheTokens: z.int().min(0).default(65_536).describe("Size of the prefix cache."),
    reportLagMilliseconds: z.number().min(0).default(500).describe(
        "Delay until a change is visible in the load report.",
    ),
    checksFencing: z.boolean().default(false).describe("Whether orders with an outdated fencing number are rejected."),
    orderMilliseconds: z.number().min(0).default(20).describe("Time to execute an order."),
    maximumModels: z.int().positive().default(2).describe(
        "Maximum number of loaded models; loading another one unloads the oldest.",
    ),
    bufferedBytesPerStream: z.int().positive().default(64 * 1024)
        .describe("Unsent bytes of a stream at which generation pauses until the client reads."),
    lostEventEvery: z.int().min(0).default(0).describe("Every n-th cache event is lost; 0 disables this."),
    keptEvents: z.int().positive().default(4096).describe("Number of cache events that remain available to readers."),
}).readonly();

/** Validated options of a stand-in model engine. */
export type EngineOptions = z.output<typeof engineOptionsSchema>;

/** Options before validation; fields with defaults are optional. */
export type EngineOptionsInput = z.input<typeof engineOptionsSchema>;
