import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";

/** An endpoint as the platform lists it. */
export interface EndpointRecord {
    /** Identity of one start of the endpoint. */
    readonly id: string;
    readonly service: string;
    /** Host and port. */
    readonly address: string;
    readonly failureDomain: string;
    /** Calls that it runs at once. */
    readonly slots: number;
    /** Whether it takes no new work because it is about to stop. */
    readonly isLeaving: boolean;
    /** How long it stays slow after its start, in milliseconds, as of the listing. */
    readonly warmUpTime: Milliseconds;
    /** When it started; undefined where the platform does not say. */
    readonly startedAt?: UnixMilliseconds | undefined;
    /** Whether the platform may reclaim it. */
    readonly isSpot: boolean;
}
