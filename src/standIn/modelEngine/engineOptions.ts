import { z } from "zod";

/** Schema of what a stand-in model engine is constructed with; everything has a default. */
export const engineOptionsSchema = z.strictObject({
    name: z.string().default("engine"),
    models: z.array(z.string()).min(1).readonly().default(["stand-in"]).describe("Models that are loaded at first."),
    version: z.string().default("1"),
    adapters: z.array(z.string()).readonly().default([]),
    role: z.enum(["mixed", "prefill", "decode"]).default("mixed"),
    maximumRunning: z.int().positive().default(32).describe("Requests in one batch."),
    maximumWaiting: z.int().min(0).default(256).describe("Requests that wait for the batch; more are refused."),
    stepMilliseconds: z.number().positive().default(8).describe("One step of an empty batch."),
    stepMillisecondsPerRequest: z.number().min(0).default(0.25).describe("Added for each request of the batch."),
    prefillMillisecondsPerToken: z.number().min(0).default(0.02),
    prefillTokensPerStep: z.int().positive().default(1024),
    cacheTokens: z.int().min(0).default(65_536).describe("Size of the prefix cache."),
    reportLagMilliseconds: z.number().min(0).default(500).describe("Age of what the load report says."),
    checksFencing: z.boolean().default(false).describe("Whether orders with an old fencing number are refused."),
    orderMilliseconds: z.number().min(0).default(20).describe("Time that an order takes."),
    maximumModels: z.int().positive().default(2).describe("Models that fit; a further one displaces the oldest."),
    bufferedBytesPerStream: z.int().positive().default(64 * 1024)
        .describe("Bytes that wait for a slow reader before its stream pauses."),
    lostEventEvery: z.int().min(0).default(0).describe("Each n-th cache event is lost; 0: none."),
    keptEvents: z.int().positive().default(4096).describe("Cache events that can still be asked for."),
}).readonly();

/** What a stand-in model engine is constructed with. */
export type EngineOptions = z.output<typeof engineOptionsSchema>;

/** Options as callers write them, with defaults left out. */
export type EngineOptionsInput = z.input<typeof engineOptionsSchema>;
