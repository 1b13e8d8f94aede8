import { z } from "zod";

const serviceNameSchema = z.string().max(256);
const countSchema = z.int().min(0);

/** What an entry counted of one service in the window of the retry budget. */
const retryCountsSchema = z.object({
    /** Calls of callers. */
    calls: countSchema,
    /** Retries that a leader granted. */
    granted: countSchema,
    /** Retries of the entry's own share. */
    own: countSchema,
}).readonly();

/** Counts of an entry's calls and retries, by service; services without any are absent. */
export const retryReportSchema = z.record(serviceNameSchema, retryCountsSchema);

/** Counts of an entry's calls and retries, by service. */
export type RetryReport = Readonly<z.output<typeof retryReportSchema>>;

/** Message of an entry that asks the leader for one retry of the budget that all entries share. */
export const retryRequestSchema = z.object({
    kind: z.literal("retryRequest"),
    number: countSchema,
    service: serviceNameSchema,
});

/** A request for one retry. */
export type RetryRequest = z.output<typeof retryRequestSchema>;

/** The response to a request for one retry. */
export const retryResponseSchema = z.object({
    kind: z.literal("retry"),
    number: countSchema,
    /** Whether the control process may decide: it leads, holds its lease, and knows what was granted before. */
    isDecided: z.boolean(),
    isGranted: z.boolean(),
    /** Time for which the entry asks for no further retry of the service, in milliseconds; 0 if one was granted. */
    delay: z.number().min(0),
});
