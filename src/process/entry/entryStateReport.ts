import type { Milliseconds } from "../../util/clock.js";
import type { ClassFigures } from "./entryMetrics.js";
import type { EntryProcessState } from "./entryProcessState.js";

/** One endpoint as an entry sees it. */
export interface EndpointReport {
    readonly name: string;
    /** Requests of this entry that it runs. */
    readonly running: number;
    /** Requests of this entry that could be started now. */
    readonly freeSlots: number;
    readonly leaving: boolean;
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
        endpoints: table.all.map(endpoint => ({
            name: endpoint.name,
            running: endpoint.running,
            freeSlots: endpoint.freeSlots,
            leaving: endpoint.leaving,
        })),
    };
}
