import { EndpointGroup } from "../../process/entry/endpointGroup.js";
import { EndpointState } from "../../process/entry/endpointState.js";
import { AffinityChooser } from "../../request/routing/affinityChooser.js";
import { PrefixCacheIndex } from "../../request/routing/prefixCacheIndex.js";
import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { ManifestEndpoint } from "../../version/manifest.js";
import { describeRequest } from "./decisionSlopes.js";
import { endOf } from "./simulatedReplicas.js";
import type { SimulatedReplicas } from "./simulatedReplicas.js";

/** Wall-clock time of the simulation's start; reports carry wall-clock times. */
const unixStart = 1_000_000;

/** How often reports that have become too old are forgotten, in milliseconds. */
const refreshInterval: Milliseconds = 500;

interface Known {
    readonly state: EndpointState;
    readonly replica: number;
    nextReportAt: Milliseconds;
}

/** One entry of a simulation: the real chooser and the real view of endpoints, over a subset of the replicas. */
export class SubsetEntry {
    private readonly group = new EndpointGroup({ model: undefined, version: undefined, adapter: undefined });
    private readonly known: readonly Known[];
    private readonly byState = new Map<EndpointState, Known>();
    private readonly chooser: AffinityChooser;
    private requests = 0;

    constructor(
        subset: readonly ManifestEndpoint[],
        slots: number,
        sharers: number,
        private readonly reportInterval: Milliseconds,
        random: RandomSource,
    ) {
        this.chooser = new AffinityChooser(random, new PrefixCacheIndex());
        this.known = subset.map(description => {
            const state = new EndpointState(description, "pool-0", slots, endpoint => {
                this.group.update(endpoint);
            });
            state.shareAmong(sharers, 0);
            const replica = Number(description.name.replace("endpoint-", ""));
            return { state, replica, nextReportAt: Math.floor(random.float() * reportInterval) };
        });
        this.group.setMembers(this.known.map(each => each.state));
        this.known.forEach(each => this.byState.set(each.state, each));
    }

    /** Takes the load reports that are due. */
    hear(replicas: SimulatedReplicas, now: Milliseconds, lag: Milliseconds): void {
        for (const each of this.known) {
            if (now >= each.nextReportAt) {
                each.nextReportAt = now + this.reportInterval;
                const unixNow = unixStart + now;
                const report = {
                    reportedAt: unixNow - lag,
                    runningRequests: replicas.reported(each.replica, now, lag),
                    waitingRequests: 0,
                    maximumRunningRequests: replicas.slots,
                    leaving: false,
                };
                each.state.noteReport(report, now, unixNow);
            }
            if (now % refreshInterval === 0) {
                each.state.refresh(now);
            }
        }
    }

    /** Sends a request to the replica that the chooser names; where none has a free slot, to the least loaded. */
    dispatch(replicas: SimulatedReplicas, now: Milliseconds, time: Milliseconds, countIt: boolean): void {
        this.requests += 1;
        const request = describeRequest(this.requests, "team-0", 1, now);
        const chosen = this.chooser.choose(this.group, request) ?? this.leastLoaded();
        const known = chosen === undefined ? undefined : this.byState.get(chosen);
        if (known === undefined) {
            throw new Error("An entry needs at least one endpoint.");
        }
        known.state.start(now);
        const endAt = endOf(now, time);
        replicas.run(known.replica, now, time, countIt, () => {
            known.state.finish(endAt);
        });
    }

    private leastLoaded(): EndpointState | undefined {
        return [...this.group.members].sort((left, right) => left.load - right.load)[0];
    }
}
