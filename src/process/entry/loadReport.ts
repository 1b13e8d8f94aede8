import { z } from "zod";
import type { Milliseconds } from "../../util/clock.js";

const count = z.number().min(0);

/** Schema of the body of an endpoint's `GET /v1/load`; plain services leave the engine's members out. */
export const loadReportSchema = z.looseObject({
    reportedAt: z.number(),
    runningRequests: count,
    waitingRequests: count.default(0),
    maximumRunningRequests: z.number().positive(),
    leaving: z.boolean().default(false),
    model: z.string().optional(),
    version: z.string().optional(),
    adapters: z.array(z.string()).readonly().optional(),
    role: z.enum(["mixed", "prefill", "decode"]).optional(),
});

/** What an endpoint says of its load; it lags behind the truth. */
export type LoadReport = z.output<typeof loadReportSchema>;

/** Largest age that a report is believed to have when it arrives, in milliseconds. */
const largestLag: Milliseconds = 5_000;

/**
 * When a report was taken, on this process's monotonic clock.
 *
 * @param unixNow Wall-clock time of its arrival; the clocks of VMs are assumed to agree within tens of milliseconds.
 */
export function measuredAt(report: LoadReport, now: Milliseconds, unixNow: number): Milliseconds {
    const lag = Math.min(largestLag, Math.max(0, unixNow - report.reportedAt));
    return now - lag;
}
