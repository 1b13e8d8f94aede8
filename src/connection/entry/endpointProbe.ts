import { z } from "zod";
import { loadReportSchema } from "../../process/entry/loadReport.js";
import type { LoadReport } from "../../process/entry/loadReport.js";
import type { CacheEvent } from "../../request/routing/prefixCacheIndex.js";
import type { Milliseconds } from "../../util/clock.js";
import { httpCall } from "../httpCall.js";

/** Longest wait for an endpoint's word on itself, in milliseconds. */
const probeTimeout: Milliseconds = 1_000;

const cacheEventsSchema = z.looseObject({
    events: z.array(z.looseObject({
        number: z.int(),
        kind: z.enum(["stored", "evicted"]),
        prefixDigest: z.string(),
    })),
    last: z.int(),
});

/** The newest events of an endpoint's prefix cache. */
export interface CacheEvents {
    readonly events: readonly CacheEvent[];
    /** Number of the newest event that the endpoint made. */
    readonly last: number;
}

/** What an endpoint says of itself when asked. */
export type EndpointWord =
    | { readonly kind: "report"; readonly report: LoadReport; }
    /** It says that it leaves, and gives no report. */
    | { readonly kind: "leaving"; }
    /** It answers, but has no load report. */
    | { readonly kind: "noReport"; }
    /** It does not answer in time, or not with what it should. */
    | { readonly kind: "silent"; readonly refused: boolean; };

/** Asks an endpoint for its load report. */
export async function askLoad(address: string): Promise<EndpointWord> {
    const answer = await httpCall({ address, method: "GET", path: "/v1/load", timeout: probeTimeout });
    if (answer.err) {
        return { kind: "silent", refused: answer.val.includes("ECONNREFUSED") };
    }
    const { status, body, headers } = answer.val;
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

/** Asks an engine for the events of its prefix cache after a number; undefined when it offers none. */
export async function askCacheEvents(address: string, after: number): Promise<CacheEvents | undefined> {
    const path = `/v1/cache-events?after=${after}`;
    const answer = await httpCall({ address, method: "GET", path, timeout: probeTimeout });
    if (answer.err || answer.val.status !== 200) {
        return undefined;
    }
    const events = cacheEventsSchema.safeParse(parseJson(answer.val.body));
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
