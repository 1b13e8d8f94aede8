import type { UnixMilliseconds } from "../../util/clock.js";

/** One VM in the platform's list. */
export interface Vm {
    readonly endpoint: string;
    /** IP number and port. */
    readonly address: string;
    readonly failureDomain: string;
    readonly pool: string;
    readonly cheap: boolean;
    readonly state: "live" | "leaving";
    /** When a leaving VM goes. */
    readonly leavesAt?: UnixMilliseconds;
}

/** The body of `GET /vms`. */
export interface VmListAnswer {
    readonly listedAt: UnixMilliseconds;
    readonly vms: readonly Vm[];
}
