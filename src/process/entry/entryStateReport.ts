import type { Milliseconds } from "../../util/clock.js";
import type { HealthFault, HealthState } from "./endpointHealth.js";
import type { EndpointState } from "./endpointState.js";
import type { ClassStatistics } from "./entryMetrics.js";
import type { EntryProcessState } from "./entryProcessState.js";

/** Whether an endpoint receives requests from an entry. */
export type EndpointCondition = HealthState["kind"] | "leaving";

/** State of one endpoint at an entry. */
export interface EndpointReport {
    readonly name: string;
    /** Number of this entry's requests that the endpoint is running. */
    readonly running: number;
    /** Number of requests that this entry could start at the endpoint now. */
    readonly freeSlots: number;
    /** Estimated fraction of slots that are occupied by requests of all entries. */
    readonly load: number;
    readonly condition: EndpointCondition;
    /** Why the endpoint was set aside; undefined if it is sound. */
    readonly fault: HealthFault | undefined;
}

/** State of one pool at an entry. */
export interface PoolReport {
    readonly pool: string;
    readonly running: number;
    readonly waiting: number;
    readonly endpoints: readonly EndpointReport[];
}

/** Body of an entry's response to `GET /v1/state`. */
export interface EntryStateReport {
    readonly entry: string;
    readonly failureDomain: string;
    /** Version of the active configuration. */
    readonly version: number;
    readonly draining: boolean;
    /** Whether the serving permit is valid. */
    readonly serves: boolean;
    readonly pools: readonly PoolReport[];
    readonly classes: readonly ClassStatistics[];
}

/** Returns the current state of an entry, for operators. */
export function createEntryStateReport(state: EntryProcessState, now: Milliseconds): EntryStateReport {
    const { settings, configuration, permit, metrics } = state;
    const { version } = configuration.current;
    return {
        entry: settings.name,
        failureDomain: settings.failureDomain,
        version,
        draining: state.draining,
        serves: permit.allows(version, now),
        pools: configuration.current.allPools.map(pool => createPoolReport(state, pool.name)),
        classes: metrics.classStatistics(),
    };
}

function createPoolReport(state: EntryProcessState, pool: string): PoolReport {
    const { running, waiting, table } = state.dispatcherOf(pool);
    return {
        pool,
        running,
        waiting,
        endpoints: table.all.map(createEndpointReport),
    };
}

function createEndpointReport(endpoint: EndpointState): EndpointReport {
    const { name, running, freeSlots, load, leaving } = endpoint;
    const health = endpoint.health.state;
    return {
        name,
        running,
        freeSlots,
        load,
        condition: leaving ? "leaving" : health.kind,
        fault: health.kind === "sound" ? undefined : health.fault,
    };
}
