import type { Milliseconds } from "../../util/clock.js";

/** How long what a hosted process does may take, by its installation. */
export interface HostedBounds {
    /** Longest time from the acknowledgement of a withdrawn key until no call runs under it. */
    readonly keyWithdrawal: Milliseconds;
    /** Longest time from SIGTERM to the end of the process. */
    readonly shutdown: Milliseconds;
    /** Shortest time between acts of two holders of a duty that take turns. */
    readonly dutyTurn: Milliseconds;
    /** Length of a usage window; windows are counted from 1970. */
    readonly usageWindow: Milliseconds;
    /** Span over which repeated calls are counted. */
    readonly retryWindow: Milliseconds;
    /** Repeated calls in that span, as a fraction of all calls for a service. */
    readonly retryFraction: number;
    /** Repeated calls in that span beyond the fraction, over all VMs. */
    readonly retryReserve: number;
    /** Longest time for which callers keep the answer which entries to use. */
    readonly resolutionTimeToLive: Milliseconds;
}

/** Where a hosted process reaches the platform. */
export interface PlatformAccess {
    /** Host and port. */
    readonly address: string;
    /** Calls that all processes together may make for lists, a second. */
    readonly listCallsPerSecond: number;
    readonly reportsUsage: boolean;
    readonly ordersEndpoints: boolean;
}

/** The settings of a hosted process. */
export interface HostedSettings {
    /** Name of the VM, unique in the installation. */
    readonly name: string;
    /** IP number of the VM. */
    readonly host: string;
    readonly failureDomain: string;
    /** Addresses that callers, operators and the platform use; undefined where this process does not serve them. */
    readonly callerAddress: string | undefined;
    readonly readinessAddress: string | undefined;
    readonly operatorAddress: string | undefined;
    readonly resolutionAddress: string | undefined;
    /** First of the ports that are free for traffic between processes. */
    readonly firstInternalPort: number;
    /** Operator addresses of some control processes. */
    readonly seedOperatorAddresses: readonly string[];
    /** Whether the whole installation starts for the first time, with empty disks. */
    readonly isFirstStart: boolean;
    readonly dataFolder: string | undefined;
    readonly bounds: HostedBounds;
    readonly platform: PlatformAccess;
}
