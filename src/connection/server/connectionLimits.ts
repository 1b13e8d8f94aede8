import type { Milliseconds } from "../../util/clock.js";

/** Limits on what the clients of a listener may occupy. */
export interface ConnectionLimits {
    /**
     * Maximum number of open connections. Beyond it, the connection that has been idle for the longest time is closed;
     * if none is idle, the new one is.
     */
    readonly maximumConnections: number;
    /**
     * Memory for headers and bodies of requests under way, in bytes, as estimated by the listener. Half as much is
     * allowed for what connections retain besides: incomplete headers, requests sent ahead, and responses not read.
     */
    readonly requestMemory: number;
    /** Maximum time for which a client may read nothing of its response. */
    readonly unreadTimeout: Milliseconds;
}

/** Limits that apply where the settings state no others. */
export const defaultConnectionLimits: ConnectionLimits = {
    maximumConnections: 20_000,
    requestMemory: 64 * 1024 * 1024,
    unreadTimeout: 30_000,
};
