import { z } from "zod";
import { loadReportSchema } from "../../process/entry/loadReport.js";
import type { LoadReport } from "../../process/entry/loadReport.js";
import type { CacheEvent } from "../../request/routing/prefixCacheIndex.js";
import type { Milliseconds } from "../../util/clock.js";
import { httpCall } from "../httpCall.js";

/** Maximum size of the response to a probe, in bytes. */
const maximumResponseBytes = 1024 * 1024;

/** Timeout of a probe, in milliseconds. */
const probeTimeout: Milliseconds = 1_000;

const cacheEventsSchema = z.looseObject({
    events: z.array(z.looseObject({
        number: z.int(),
        kind: z.enum(["stored", "evicted"]),
        prefixDigest: z.string(),
    })),
    last: z.int(),
});

/** Events of the prefix cache of an endpoint. */
export interface CacheEvents {
    readonly events: readonly CacheEvent[];
    /** Number of the newest event of the endpoint. */
    readonly last: number;
}

/** Result of probing an endpoint for its load report. */
export type EndpointProbeResult =
    | { readonly kind: "report"; readonly report: LoadReport; }
    /** The endpoint announces that it is leaving, and sends no load report. */
    | { readonly kind: "leaving"; }
    /** The endpoint responds, but offers no load report. */
    | { readonly kind: "noReport"; }
    /** No response in time, or an unexpected one; `refused` if the connection was refused. */
    | { readonly kind: "silent"; readonly refused: boolean; };

/** Probes an endpoint for its load report. */
export async function fetchLoadReport(address: string): Promise<EndpointProbeResult> {
    const response = await httpCall({
        address,
        method: "GET",
        path: "/v1/load",
        timeout: probeTimeout,
        maximumResponseBytes,
    });
    if (response.err) {
        return { kind: "silent", refused: response.val.includes("ECONNREFUSED") };
    }
    const { status, body, headers } = response.val;
    const report = status === 200 ? loadReportSchema.safeParse(parseJson(body)) : undefined;
    const leaving = headers["x-leaving"] === "true";
    if (report?.success === true) {
        return { kind: "report", report: { ...report.data, leaving: report.data.leaving || leaving } };
    }
    if (leaving) {
        return { kind: "leaving" };
    }
    return status === 404 ? { kind: "noReport" } : { kind: "silent", refused: false };
}

/** Gets the prefix cache events of an engine after an event number; undefined if it offers none or fails. */
export async function fetchCacheEvents(address: string, after: number): Promise<CacheEvents | undefined> {
    const path = `/v1/cache-events?after=${after}`;
    const response = await httpCall({ address, method: "GET", path, timeout: probeTimeout, maximumResponseBytes });
    if (response.err || response.val.status !== 200) {
        return undefined;
    }
    const events = cacheEventsSchema.safeParse(parseJson(response.val.body));
    return events.success ? events.data : undefined;
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}
