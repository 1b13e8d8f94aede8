import type { Milliseconds } from "../../util/clock.js";
import type { HealthFault, HealthState } from "./endpointHealth.js";
import type { EndpointState } from "./endpointState.js";
import type { ClassFigures } from "./entryMetrics.js";
import type { EntryProcessState } from "./entryProcessState.js";

/** Whether an endpoint gets work from an entry. */
export type EndpointCondition = HealthState["kind"] | "leaving";

/** One endpoint as an entry sees it. */
export interface EndpointReport {
    readonly name: string;
    /** Requests of this entry that it runs. */
    readonly running: number;
    /** Requests of this entry that could be started now. */
    readonly freeSlots: number;
    /** Estimated share of its slots that are taken by all entries. */
    readonly load: number;
    readonly condition: EndpointCondition;
    /** Why it is set aside or on trial. */
    readonly fault: HealthFault | undefined;
}

/** One pool as an entry sees it. */
export interface PoolReport {
    readonly pool: string;
    readonly running: number;
    readonly waiting: number;
    readonly endpoints: readonly EndpointReport[];
}

/** What an entry shows of itself at `GET /v1/state`. */
export interface EntryStateReport {
    readonly entry: string;
    readonly failureDomain: string;
    /** Version of the configuration in force here. */
    readonly version: number;
    readonly draining: boolean;
    /** Whether the permit to serve holds. */
    readonly serves: boolean;
    readonly pools: readonly PoolReport[];
    readonly classes: readonly ClassFigures[];
}

/** The present state of an entry, for operators. */
export function entryStateReport(state: EntryProcessState, now: Milliseconds): EntryStateReport {
    const { settings, configuration, permit, metrics } = state;
    const { version } = configuration.current;
    return {
        entry: settings.name,
        failureDomain: settings.failureDomain,
        version,
        draining: state.draining,
        serves: permit.holds(version, now),
        pools: configuration.current.allPools.map(pool => poolReport(state, pool.name)),
        classes: metrics.classFigures(),
    };
}

function poolReport(state: EntryProcessState, pool: string): PoolReport {
    const { running, waiting, table } = state.dispatcherOf(pool);
    return {
        pool,
        running,
        waiting,
        endpoints: table.all.map(endpointReport),
    };
}

function endpointReport(endpoint: EndpointState): EndpointReport {
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
