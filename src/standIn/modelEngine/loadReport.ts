import type { UnixMilliseconds } from "../../util/clock.js";
import type { Batch } from "./batch.js";
import type { EngineOptions } from "./engineOptions.js";
import type { EngineState } from "./engineState.js";
import type { PrefixCache } from "./prefixCache.js";

/** The body of an engine's `GET /v1/load`. */
export interface EngineLoadReport {
    readonly reportedAt: UnixMilliseconds;
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: EngineOptions["role"];
    readonly runningRequests: number;
    readonly waitingRequests: number;
    readonly maximumRunningRequests: number;
    /** Nominal output rate of the current batch; the `straggle` fault does not affect it. */
    readonly tokensPerSecond: number;
    readonly cacheTokensUsed: number;
    readonly cacheTokensTotal: number;
    readonly leaving: boolean;
}

/** The parts of an engine that a load report is built from. */
export interface LoadReportSources {
    readonly options: EngineOptions;
    readonly state: EngineState;
    readonly batch: Batch;
    readonly cache: PrefixCache;
}

/** Builds a load report from the current state. */
export function buildLoadReport(sources: LoadReportSources, unixNow: UnixMilliseconds): EngineLoadReport {
    const { options, state, batch, cache } = sources;
    const newest = state.models.at(-1);
    return {
        reportedAt: unixNow,
        model: newest?.model ?? "",
        version: newest?.version ?? "",
        adapters: state.adapters,
        role: state.role,
        runningRequests: batch.runningCount,
        waitingRequests: batch.waitingCount,
        maximumRunningRequests: options.maximumRunning,
        tokensPerSecond: (1000 * batch.runningCount) / batch.stepDuration(batch.runningCount, 0),
        cacheTokensUsed: cache.usedTokens,
        cacheTokensTotal: options.cacheTokens,
        leaving: state.leaving,
    };
}
