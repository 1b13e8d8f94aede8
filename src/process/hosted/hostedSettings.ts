import type { ConnectionLimits } from "../../connection/server/connectionLimits.js";
import type { Milliseconds } from "../../util/clock.js";
import type { ToleratedLosses } from "../replicatedLog/memberAdmission.js";

/** Time limits and retry limits of a hosted installation. */
export interface HostedBounds {
    /** Maximum time from the acknowledgement of a key's withdrawal until no call runs with that key. */
    readonly keyWithdrawal: Milliseconds;
    /** Maximum time from SIGTERM to the exit of the process. */
    readonly shutdown: Milliseconds;
    /**
     * Minimum time between calls to the platform by two successive holders of a duty, a task that only one process may
     * perform at a time.
     */
    readonly dutyHandoverDelay: Milliseconds;
    /** Length of a usage window; windows are numbered from the Unix epoch. */
    readonly usageWindow: Milliseconds;
    /** Length of the sliding window over which retries are counted. */
    readonly retryWindow: Milliseconds;
    /** Maximum number of retries in the window, as a fraction of all calls to a service. */
    readonly retryFraction: number;
    /** Additional retries in the window beyond that fraction, shared by all VMs. */
    readonly retryReserve: number;
    /** Maximum time for which callers may cache a resolution response (which entries to use). */
    readonly resolutionTimeToLive: Milliseconds;
}

/** How a hosted process accesses the platform. */
export interface PlatformAccess {
    /** Host and port. */
    readonly address: string;
    /** Maximum rate of list calls of all processes together, in calls per second. */
    readonly listCallsPerSecond: number;
    /** Whether the installation reports usage to the platform. */
    readonly reportsUsage: boolean;
    /** Whether the installation orders endpoints from the platform. */
    readonly ordersEndpoints: boolean;
}

/** The settings of a hosted process. */
export interface HostedSettings {
    /** Name of the VM, unique within the installation. */
    readonly name: string;
    /** IP address of the VM. */
    readonly host: string;
    readonly failureDomain: string;
    /** Addresses to listen on, as host and port; undefined if this process does not serve the respective clients. */
    readonly callerAddress: string | undefined;
    readonly readinessAddress: string | undefined;
    readonly operatorAddress: string | undefined;
    readonly resolutionAddress: string | undefined;
    /** First port of the range reserved for traffic between processes. */
    readonly firstInternalPort: number;
    /** Operator addresses of some control processes, for discovery. */
    readonly seedOperatorAddresses: readonly string[];
    /** Whether the installation is being bootstrapped, with empty disks on all VMs. */
    readonly isFirstStart: boolean;
    /** Folder for durable state; undefined if the process stores none. */
    readonly dataFolder: string | undefined;
    readonly bounds: HostedBounds;
    /** Losses of control processes that the installation must bear at the same time. */
    readonly toleratedLosses: ToleratedLosses;
    readonly platform: PlatformAccess;
    /** Limits for the clients of each listener for HTTP. */
    readonly connectionLimits: ConnectionLimits;
}
