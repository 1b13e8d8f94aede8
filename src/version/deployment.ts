import type { Milliseconds } from "../util/clock.js";

/** Whether a call with unknown outcome may be retried. */
export type RepeatRule =
    /** The call may run any number of times. */
    | "repeatable"
    /** The call must run at most once. */
    | "once";

/** A back end service that receives a share of the calls of a route. */
export interface RouteTarget {
    readonly service: string;
    /** Share of the calls, relative to the weights of the other targets. */
    readonly weight: number;
}

/** A rule that routes calls to services. */
export interface DeployedRoute {
    readonly name: string;
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether responses are event streams. */
    readonly streaming: boolean;
    readonly repeatRule: RepeatRule;
    /** Timeout from the arrival of a call to the end of its response, in milliseconds. */
    readonly timeout: Milliseconds;
    /** Target for the time to the response or to the first event, in milliseconds; a call within it is fully successful. */
    readonly targetLatency: Milliseconds;
    /** Target for the time between two events of a stream, in milliseconds; a call within it is fully successful. */
    readonly targetEventGap: Milliseconds | undefined;
    /** Priority tier; 0 is the most important. */
    readonly tier: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of endpoints to which one call may be sent. */
    readonly maximumAttempts: number;
    /** Whether calls are accepted without a key. */
    readonly isPublic: boolean;
}

/** Limits on the replicas that may be ordered for a service, for each failure domain. */
export interface ServiceScaling {
    readonly minimum: number;
    readonly maximum: number;
    /** Time from an order until the replica is ready, in milliseconds. */
    readonly startupTime: Milliseconds;
    /** Price of a replica per second, by failure domain. */
    readonly prices: Readonly<Record<string, number>>;
    /** Price of a reclaimable (spot) replica as a fraction of the regular price; undefined if none are offered. */
    readonly spotPriceFraction: number | undefined;
}

/** Declared properties of the engines of a model service. */
export interface DeclaredEngine {
    /** Number of requests that one engine runs concurrently. */
    readonly slots: number;
    /** Capacity of the key-value cache, in tokens of prompts and output. */
    readonly cacheTokens: number;
    /** Number of tokens in one event of a stream. */
    readonly tokensPerEvent: number;
}

/** A group of interchangeable endpoints. */
export interface DeployedService {
    readonly name: string;
    /** Maximum number of connections that one endpoint accepts, over all clients. */
    readonly connectionLimit: number;
    readonly engine: DeclaredEngine | undefined;
    readonly scaling: ServiceScaling | undefined;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Timeout for the headers of a request, in milliseconds. */
    readonly headerTimeout: Milliseconds;
    /** Timeout of an idle connection, in milliseconds. */
    readonly idleTimeout: Milliseconds;
}

/** A team, identified by the key of its calls. */
export interface DeployedTeam {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over the tier of the route. */
    readonly tier: number | undefined;
}

/** A complete configuration as operators submit it to a hosted installation. */
export interface Deployment {
    readonly version: number;
    readonly routes: readonly DeployedRoute[];
    readonly services: readonly DeployedService[];
    readonly limits: CallerLimits;
    /** Undefined if no call needs a key. */
    readonly teams: readonly DeployedTeam[] | undefined;
}
