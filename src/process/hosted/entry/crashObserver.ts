import type { ListenerState } from "../../../connection/probeListener.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { HostedEndpoint } from "./hostedEndpoint.js";

/** Time for which further lost calls of an endpoint are collected before it is probed. */
const collectionTime: Milliseconds = 25;

/** Maximum number of features in a log line. */
const maximumLoggedTexts = 16;

/** Maximum number of lost calls that are kept of one crash. */
const maximumLostCalls = 64;

/** A call whose connection ended on the endpoint's side before its response was complete. */
export interface LostCall {
    /** Undefined for a call without a key. */
    readonly team: string | undefined;
    readonly features: readonly string[];
}

/** A crash of an endpoint as this entry observed it. */
export interface ObservedCrash {
    readonly endpoint: string;
    readonly service: string;
    readonly observedAt: Milliseconds;
    readonly lostCalls: readonly LostCall[];
}

/** Dependencies of {@link CrashObserver}. */
export interface CrashObserverContext {
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Tells whether a process listens at an address. */
    readonly probe: (address: string) => Promise<ListenerState>;
    /** Called with each crash. */
    readonly onCrash: (crash: ObservedCrash) => void;
}

/**
 * Tells crashes of endpoints from connections that were merely lost.
 *
 * Only the host of an endpoint whose process has ended refuses connections: one behind a failed network or without power
 * does not respond, and one that merely lost its connections accepts new ones.
 */
export class CrashObserver {
    private readonly pending = new Map<HostedEndpoint, LostCall[]>();

    constructor(private readonly context: CrashObserverContext) {}

    /** Records a call whose connection was lost at an endpoint. */
    recordLostCall(endpoint: HostedEndpoint, call: LostCall): void {
        const collected = this.pending.get(endpoint);
        if (collected !== undefined) {
            if (collected.length < maximumLostCalls) {
                collected.push(call);
            }
            return;
        }
        this.pending.set(endpoint, [call]);
        void this.examine(endpoint);
    }

    /** Whether the process of an endpoint still accepts connections; the attempt to open one is bounded in time. */
    async isListening({ record }: HostedEndpoint): Promise<boolean> {
        return await this.context.probe(record.address) === "listening";
    }

    private async examine(endpoint: HostedEndpoint): Promise<void> {
        const { clock, eventLog, probe, onCrash } = this.context;
        const observedAt = clock.now();
        await clock.sleep(collectionTime);
        const state = await probe(endpoint.record.address);
        const lostCalls = this.pending.get(endpoint) ?? [];
        this.pending.delete(endpoint);
        if (state !== "refused") {
            eventLog.write("endpointConnectionsLost", { endpoint: endpoint.id, calls: lostCalls.length, state });
            return;
        }
        eventLog.write("endpointCrashObserved", {
            endpoint: endpoint.id,
            calls: lostCalls.length,
            teams: mostFrequent(lostCalls.map(({ team }) => team ?? "")),
            features: mostFrequent(lostCalls.flatMap(({ features }) => features)),
        });
        onCrash({ endpoint: endpoint.id, service: endpoint.record.service, observedAt, lostCalls });
    }
}

/** The most frequent ones of some texts, for a log line. */
function mostFrequent(texts: readonly string[]): string {
    const counts = new Map<string, number>();
    texts.forEach(text => counts.set(text, (counts.get(text) ?? 0) + 1));
    const ranked = [...counts].sort(([, a], [, b]) => b - a);
    return ranked.slice(0, maximumLoggedTexts).map(([text]) => text).join(" ");
}
