import { z } from "zod";
import { addressSchema } from "../../settings/commonSettings.js";

const loopbackAddress = addressSchema.refine(isLoopback, "must be on loopback");

const distributionSchema = z.strictObject({
    median: z.number().positive(),
    sigma: z.number().min(0).default(0).describe("Standard deviation of the logarithm; 0: always the median."),
}).readonly();

const burstSchema = z.strictObject({
    fromSecond: z.number().min(0),
    toSecond: z.number().min(0),
    factor: z.number().min(0).describe("By how much the rate is multiplied."),
}).readonly();

const commonFields = {
    team: z.string(),
    key: z.string().describe("Text of the team's key."),
    requestClass: z.string(),
    requestsPerSecond: z.number().positive(),
    bursts: z.array(burstSchema).readonly().default([]),
    timeoutMilliseconds: z.int().positive().default(30_000),
    target: z.strictObject({
        firstTokenMilliseconds: z.int().positive().optional(),
        totalMilliseconds: z.int().positive(),
    }).readonly(),
};

const flowSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("chat"),
        ...commonFields,
        model: z.string(),
        promptTokens: distributionSchema,
        outputTokens: distributionSchema,
        prefixes: z.int().positive().default(1).describe("How many unlike beginnings the prompts share."),
        prefixTokens: z.int().min(0).default(0).describe("Tokens of a shared beginning."),
    }).readonly(),
    z.strictObject({
        kind: z.literal("service"),
        ...commonFields,
        method: z.enum(["GET", "POST"]).default("POST"),
        path: z.string().startsWith("/"),
        withIdempotencyKey: z.boolean().default(true),
    }).readonly(),
]);

/** Schema of a load plan: who sends what, how often, and for how long. */
export const loadPlanSchema = z.strictObject({
    seed: z.int(),
    seconds: z.number().positive(),
    entries: z.array(loopbackAddress).min(1).readonly().describe("Entries that are asked which entries to use."),
    flows: z.array(flowSchema).min(1).readonly(),
}).readonly();

/** A load plan. */
export type LoadPlan = z.output<typeof loadPlanSchema>;

/** The requests of one class of one team. */
export type Flow = z.output<typeof flowSchema>;

/** A log-normal distribution. */
export type Distribution = z.output<typeof distributionSchema>;

/** Whether an address is on loopback; load goes nowhere else. */
export function isLoopback(address: string): boolean {
    return /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]):\d+$/.test(address);
}
