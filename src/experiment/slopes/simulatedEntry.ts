import { EndpointGroup } from "../../process/entry/endpointGroup.js";
import { EndpointState } from "../../process/entry/endpointState.js";
import { AffinityChooser } from "../../request/routing/affinityChooser.js";
import { PrefixCacheIndex } from "../../request/routing/prefixCacheIndex.js";
import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { ManifestEndpoint } from "../../version/manifest.js";
import { createRequest } from "./decisionSlopes.js";
import { completionTime } from "./simulatedReplicas.js";
import type { SimulatedReplicas } from "./simulatedReplicas.js";

/** Unix time of the start of the simulation, in milliseconds; reports carry Unix times. */
const simulationStartUnixTime = 1_000_000;

/** Interval at which endpoint states are refreshed, in milliseconds; a refresh discards expired reports. */
const refreshInterval: Milliseconds = 500;

interface KnownEndpoint {
    readonly state: EndpointState;
    readonly replica: number;
    nextReportAt: Milliseconds;
}

/** A simulated entry: the real endpoint selection and endpoint states, for a subset of the replicas. */
export class SimulatedEntry {
    private readonly group = new EndpointGroup({ model: undefined, version: undefined, adapter: undefined });
    private readonly endpoints: readonly KnownEndpoint[];
    private readonly byState = new Map<EndpointState, KnownEndpoint>();
    private readonly chooser: AffinityChooser;
    private requestCount = 0;

    /**
     * @param subset Endpoints that the entry sends requests to.
     * @param slots Number of requests that a replica can run concurrently.
     * @param sharers Expected number of entries that send requests to the same endpoint.
     * @param reportInterval Interval between two load reports of an endpoint, in milliseconds.
     */
    constructor(
        subset: readonly ManifestEndpoint[],
        slots: number,
        sharers: number,
        private readonly reportInterval: Milliseconds,
        random: RandomSource,
    ) {
        this.chooser = new AffinityChooser(random, new PrefixCacheIndex());
        this.endpoints = subset.map(description => {
            const state = new EndpointState(description, "pool-0", slots, endpoint => {
                this.group.update(endpoint);
            });
            state.setSharingEntries(sharers, 0);
            const replica = Number(description.name.replace("endpoint-", ""));
            return { state, replica, nextReportAt: Math.floor(random.float() * reportInterval) };
        });
        this.group.setMembers(this.endpoints.map(endpoint => endpoint.state));
        this.endpoints.forEach(endpoint => this.byState.set(endpoint.state, endpoint));
    }

    /** Records the load reports that are due. */
    receiveReports(replicas: SimulatedReplicas, now: Milliseconds, reportAge: Milliseconds): void {
        for (const endpoint of this.endpoints) {
            if (now >= endpoint.nextReportAt) {
                endpoint.nextReportAt = now + this.reportInterval;
                const unixNow = simulationStartUnixTime + now;
                const report = {
                    reportedAt: unixNow - reportAge,
                    runningRequests: replicas.reportedRunning(endpoint.replica, now, reportAge),
                    waitingRequests: 0,
                    maximumRunningRequests: replicas.slots,
                    leaving: false,
                };
                endpoint.state.applyReport(report, now, unixNow);
            }
            if (now % refreshInterval === 0) {
                endpoint.state.refresh(now);
            }
        }
    }

    /** Sends a request to the selected replica, or to the least loaded one if none has a free slot. */
    dispatch(replicas: SimulatedReplicas, now: Milliseconds, serviceTime: Milliseconds, isCounted: boolean): void {
        this.requestCount += 1;
        const request = createRequest(this.requestCount, "team-0", 1, now);
        const chosenState = this.chooser.choose(this.group, request) ?? this.leastLoaded();
        const endpoint = chosenState === undefined ? undefined : this.byState.get(chosenState);
        if (endpoint === undefined) {
            throw new Error("A simulated entry needs at least one endpoint.");
        }
        endpoint.state.start(now);
        const completedAt = completionTime(now, serviceTime);
        replicas.startRequest(endpoint.replica, now, serviceTime, isCounted, () => {
            endpoint.state.finish(completedAt);
        });
    }

    private leastLoaded(): EndpointState | undefined {
        return [...this.group.members].sort((left, right) => left.load - right.load)[0];
    }
}
