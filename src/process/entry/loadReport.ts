import { z } from "zod";
import type { Milliseconds } from "../../util/clock.js";

const countSchema = z.number().min(0);

/** Schema of an endpoint's response to `GET /v1/load`; plain services omit the members that describe an engine. */
export const loadReportSchema = z.looseObject({
    reportedAt: z.number(),
    runningRequests: countSchema,
    waitingRequests: countSchema.default(0),
    maximumRunningRequests: z.number().positive(),
    leaving: z.boolean().default(false),
    model: z.string().optional(),
    version: z.string().optional(),
    adapters: z.array(z.string()).readonly().optional(),
    role: z.enum(["mixed", "prefill", "decode"]).optional(),
});

/** Load as reported by an endpoint; it lags behind the actual load. */
export type LoadReport = z.output<typeof loadReportSchema>;

/** Upper bound of a report's assumed age on arrival, in milliseconds. */
const maximumReportAge: Milliseconds = 5_000;

/**
 * Estimates when a report was measured, in the monotonic time of this process.
 *
 * @param unixNow Wall-clock time of arrival, in Unix milliseconds; the wall clocks of VMs are assumed to agree within
 * tens of milliseconds.
 */
export function estimateMeasuredAt(report: LoadReport, now: Milliseconds, unixNow: number): Milliseconds {
    const lag = Math.min(maximumReportAge, Math.max(0, unixNow - report.reportedAt));
    return now - lag;
}
