import { z } from "zod";
import { addressSchema } from "../../settings/commonSettings.js";

const loopbackAddress = addressSchema.refine(isLoopback, "must be on loopback");

const distributionSchema = z.strictObject({
    median: z.number().positive(),
    sigma: z.number().min(0).default(0).describe("Standard deviation of the logarithm; 0 always gives the median."),
}).readonly();

const burstSchema = z.strictObject({
    fromSecond: z.number().min(0),
    toSecond: z.number().min(0),
    factor: z.number().min(0).describe("Factor of the request rate during the burst."),
}).readonly();

const commonFlowFields = {
    team: z.string(),
    key: z.string().describe("The team's key."),
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
        ...commonFlowFields,
        model: z.string(),
        promptTokens: distributionSchema,
        outputTokens: distributionSchema,
        prefixes: z.int().positive().default(1).describe("Number of different prefixes shared by the prompts."),
        prefixTokens: z.int().min(0).default(0).describe("Length of a shared prefix, in tokens."),
    }).readonly(),
    z.strictObject({
        kind: z.literal("service"),
        ...commonFlowFields,
        method: z.enum(["GET", "POST"]).default("POST"),
        path: z.string().startsWith("/"),
        withIdempotencyKey: z.boolean().default(true),
    }).readonly(),
]);

/** Schema of a load plan: the flows of requests, their rates and the duration. */
export const loadPlanSchema = z.strictObject({
    seed: z.int(),
    seconds: z.number().positive(),
    entries: z.array(loopbackAddress).min(1).readonly().describe("Entries used for the discovery of all entries."),
    flows: z.array(flowSchema).min(1).readonly(),
}).readonly();

/** A load plan. */
export type LoadPlan = z.output<typeof loadPlanSchema>;

/** Requests of one class and team. */
export type Flow = z.output<typeof flowSchema>;

/** Parameters of a log-normal distribution. */
export type Distribution = z.output<typeof distributionSchema>;

/** Whether an address is a loopback address; load is sent to no other addresses. */
export function isLoopback(address: string): boolean {
    return /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]):\d+$/.test(address);
}
