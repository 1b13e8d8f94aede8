import { fetchCacheEvents, fetchLoadReport } from "../../connection/entry/endpointProbe.js";
import type { PrefixCacheIndex } from "../../request/routing/prefixCacheIndex.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { EndpointState } from "./endpointState.js";
import type { EndpointTable } from "./endpointTable.js";

/** Minimum interval between two polls of an endpoint, in milliseconds. */
const minimumPollInterval: Milliseconds = 250;

/** Maximum interval between two polls, in milliseconds; bounds the delay until a leaving endpoint is noticed. */
const maximumPollInterval: Milliseconds = 1_000;

/** Polls per second of all endpoints together; exceeded if {@link maximumPollInterval} requires more. */
const targetPollsPerSecond = 200;

/** Maximum random deviation from the poll interval, as a fraction of it. */
const jitterFraction = 0.2;

/** Consecutive failed polls after which an endpoint is set aside as unreachable. */
const failedPollThreshold = 2;

/** Dependencies of {@link EndpointMonitor}. */
export interface EndpointMonitorContext {
    readonly table: EndpointTable;
    readonly prefixCacheIndex: PrefixCacheIndex;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the number of endpoints that this entry polls. */
    readonly polledEndpointCount: () => number;
    /** Whether the endpoints are engines, which publish events of their prefix cache. */
    readonly publishesCacheEvents: boolean;
    /** Called after each poll, whether it succeeded or failed. */
    readonly onPolled: (now: Milliseconds) => void;
}

/** Polls the load of one endpoint periodically; the results also serve as health probes. */
export class EndpointMonitor {
    private consecutiveFailedPolls = 0;

    constructor(private readonly endpoint: EndpointState, private readonly context: EndpointMonitorContext) {}

    /** Runs until the signal aborts. */
    async run(stopSignal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        while (!stopSignal.aborted) {
            await this.poll();
            await clock.sleep(this.nextDelay(), stopSignal);
        }
    }

    private async poll(): Promise<void> {
        const { clock } = this.context;
        const result = await fetchLoadReport(this.endpoint.description.address);
        const now = clock.now();
        switch (result.kind) {
            case "report":
                this.endpoint.applyReport(result.report, now, clock.unixNow());
                break;
            case "leaving":
                this.endpoint.markLeaving(now);
                break;
            case "noReport":
            case "silent":
                break;
        }
        this.updateHealth(result.kind !== "silent", result.kind === "silent" && result.refused, now);
        if (result.kind === "report" && this.context.publishesCacheEvents) {
            await this.pollCacheEvents();
        }
        this.context.onPolled(clock.now());
    }

    private updateHealth(responded: boolean, refused: boolean, now: Milliseconds): void {
        const { table } = this.context;
        this.consecutiveFailedPolls = responded ? 0 : this.consecutiveFailedPolls + 1;
        if (this.endpoint.health.isProbeDue(now)) {
            table.recordProbe(this.endpoint, responded, now);
        }
        else if (refused || this.consecutiveFailedPolls >= failedPollThreshold) {
            table.recordFault(this.endpoint, "unreachable", now);
        }
    }

    private async pollCacheEvents(): Promise<void> {
        const { prefixCacheIndex } = this.context;
        const response = await fetchCacheEvents(
            this.endpoint.description.address,
            prefixCacheIndex.lastEventNumber(this.endpoint),
        );
        if (response !== undefined) {
            prefixCacheIndex.applyEvents(this.endpoint, response.events, response.last);
        }
    }

    /** Time until the next poll; shorter if a health probe is due earlier. */
    private nextDelay(): Milliseconds {
        const { polledEndpointCount, random, clock } = this.context;
        const targetInterval = (polledEndpointCount() * 1_000) / targetPollsPerSecond;
        const interval = Math.min(maximumPollInterval, Math.max(minimumPollInterval, targetInterval));
        const jitteredInterval = interval * (1 + (2 * random.float() - 1) * jitterFraction);
        const { state } = this.endpoint.health;
        const timeUntilProbe = state.kind === "setAside" ? Math.max(1, state.until - clock.now()) : jitteredInterval;
        return Math.min(jitteredInterval, timeUntilProbe);
    }
}
