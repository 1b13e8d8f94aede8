import type { ListenerState } from "../../../connection/probeListener.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";

/** Number of endpoints that are probed at once; an entry is cut off if none of them accepts a connection. */
const probedEndpoints = 4;

/** Number of endpoints that must fail or be silent before any is probed: one alone may have a fault of its own. */
const suspiciousEndpoints = 2;

/** Time for which a failure counts towards that number. */
const failureMemory: Milliseconds = 2_000;

/** Time without data from an endpoint with running calls after which it counts as silent. */
const suspiciousSilence: Milliseconds = 700;

/** Interval at which silence is checked, and at which a cut-off entry probes endpoints. */
const checkInterval: Milliseconds = 250;

/** Minimum time between two rounds of probes while the entry is not cut off. */
const minimumProbeInterval: Milliseconds = 1_000;

/** Endpoints at which this entry has running calls. */
export interface ActiveEndpoints {
    readonly count: number;
    /** Number of those from which no data has arrived for a time. */
    readonly silent: number;
}

/** Dependencies of {@link EndpointReachability}. */
export interface EndpointReachabilityContext {
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly random: RandomSource;
    /** Addresses of all listed endpoints. */
    readonly addresses: () => readonly string[];
    readonly activeEndpoints: (silence: Milliseconds, now: Milliseconds) => ActiveEndpoints;
    /** Tells whether a process listens at an address. */
    readonly probe: (address: string) => Promise<ListenerState>;
}

/**
 * Tells whether this entry is cut off from all endpoints.
 *
 * Failures of calls only give rise to probes, since endpoints also fail by themselves: the entry is cut off once none of
 * several endpoints accepts a connection.
 */
export class EndpointReachability {
    private readonly failedAt = new Map<string, Milliseconds>();
    private readonly listeners = new Set<() => void>();
    private cutOffSince: Milliseconds | undefined;
    private probedAt: Milliseconds = -Infinity;
    private pendingProbes: Promise<boolean> | undefined;

    constructor(private readonly context: EndpointReachabilityContext) {}

    get isCutOff(): boolean {
        return this.cutOffSince !== undefined;
    }

    /** Calls a function when the entry is cut off or reaches endpoints again; disposing of the result ends that. */
    onChange(listener: () => void): Disposable {
        this.listeners.add(listener);
        return {
            [Symbol.dispose]: () => {
                this.listeners.delete(listener);
            },
        };
    }

    /** Records that an endpoint has responded on a new connection. */
    recordConnection(now: Milliseconds): void {
        this.failedAt.clear();
        this.setCutOff(false, now);
    }

    /** Records that an endpoint could not be reached, or that its response was lost. */
    recordFailure(address: string, now: Milliseconds): void {
        this.failedAt.set(address, now);
        if (this.isSuspicious(now)) {
            void this.verify();
        }
    }

    /** Probes endpoints unless probes are under way; resolves with whether the entry is cut off. */
    verify(): Promise<boolean> {
        this.pendingProbes ??= this.probeSome().finally(() => {
            this.pendingProbes = undefined;
        });
        return this.pendingProbes;
    }

    /** Watches for silence, and for the end of a cut, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        while (!signal.aborted) {
            if (this.isCutOff || this.isSuspicious(clock.now())) {
                await this.verify();
            }
            await clock.sleep(checkInterval, signal);
        }
    }

    /** Whether endpoints should be probed, because several have failed lately or all with running calls are silent. */
    private isSuspicious(now: Milliseconds): boolean {
        for (const [address, at] of this.failedAt) {
            if (now - at > failureMemory) {
                this.failedAt.delete(address);
            }
        }
        const { count, silent } = this.context.activeEndpoints(suspiciousSilence, now);
        const areAllSilent = count >= suspiciousEndpoints && silent === count;
        return now - this.probedAt >= minimumProbeInterval
            && (areAllSilent || this.failedAt.size >= suspiciousEndpoints);
    }

    private async probeSome(): Promise<boolean> {
        const { addresses, clock, probe, random } = this.context;
        this.probedAt = clock.now();
        const known = [...new Set(addresses())].map(address => ({ address, order: random.float() }));
        const probed = known.sort((a, b) => a.order - b.order).slice(0, probedEndpoints);
        if (probed.length < suspiciousEndpoints) {
            return this.isCutOff;
        }
        const states = await Promise.all(probed.map(({ address }) => probe(address)));
        this.setCutOff(!states.includes("listening"), clock.now());
        return this.isCutOff;
    }

    private setCutOff(isCutOff: boolean, now: Milliseconds): void {
        if (isCutOff === this.isCutOff) {
            return;
        }
        const { eventLog } = this.context;
        if (isCutOff) {
            eventLog.write("endpointsUnreachable", { failed: this.failedAt.size });
        }
        else {
            eventLog.write("endpointsReachable", { duration: Math.round(now - (this.cutOffSince ?? now)) });
        }
        this.cutOffSince = isCutOff ? now : undefined;
        this.listeners.forEach(listener => {
            listener();
        });
    }
}
