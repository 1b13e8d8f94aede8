import type { Milliseconds } from "../util/clock.js";

/** What may be done with a call whose outcome is not known. */
export type RepeatRule =
    /** The call may run any number of times. */
    | "repeatable"
    /** The call may run once at most. */
    | "once";

/** A back end service that takes a part of a route's calls. */
export interface RouteTarget {
    readonly service: string;
    /** Share of the calls in relation to the other targets' weights. */
    readonly weight: number;
}

/** One rule that leads calls to services. */
export interface DeployedRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether answers are event streams. */
    readonly streaming: boolean;
    readonly repeatRule: RepeatRule;
    /** Longest time from a call's arrival to its final answer, in milliseconds. */
    readonly timeout: Milliseconds;
    /** Time to the answer, or to the first event, within which a call counts in full, in milliseconds. */
    readonly targetLatency: Milliseconds;
    /** Longest pause between two events of a stream that still counts in full, in milliseconds. */
    readonly targetPause: Milliseconds | undefined;
    /** Rank by importance; 0 is the highest. */
    readonly tier: number;
    readonly targets: readonly RouteTarget[];
    /** Endpoints to which one call may be sent at most. */
    readonly maximumAttempts: number;
    /** Whether calls need no key. */
    readonly isPublic: boolean;
}

/** Bounds on the replicas that may be ordered for a service, for each failure domain. */
export interface ServiceScaling {
    readonly minimum: number;
    readonly maximum: number;
    /** Time from an order until a replica serves, in milliseconds. */
    readonly startupTime: Milliseconds;
    /** Price of a replica for each failure domain, a second. */
    readonly prices: Readonly<Record<string, number>>;
    /** Price of a reclaimable replica as a fraction of the ordinary price; undefined where there are none. */
    readonly spotPriceFraction: number | undefined;
}

/** What is declared of the engines of a model service. */
export interface DeclaredEngine {
    /** Requests that one engine runs at once. */
    readonly slots: number;
    /** Memory for prompts and generated tokens, in tokens. */
    readonly cacheTokens: number;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
}

/** A group of like endpoints. */
export interface DeployedService {
    readonly name: string;
    /** Connections that one endpoint accepts from all callers together. */
    readonly connectionLimit: number;
    readonly engine: DeclaredEngine | undefined;
    readonly scaling: ServiceScaling | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Longest time for the headers of a request, in milliseconds. */
    readonly headerTimeout: Milliseconds;
    /** How long a connection may stay without a request, in milliseconds. */
    readonly idleTimeout: Milliseconds;
}

/** A customer whose calls carry one of its keys. */
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
    /** Undefined where calls need no keys at all. */
    readonly teams: readonly DeployedTeam[] | undefined;
}
