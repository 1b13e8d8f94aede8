import type { UnixMilliseconds } from "../../util/clock.js";

/** Role of a model engine. */
export type EngineRole = "mixed" | "prefill" | "decode";

/** An instruction to an engine. */
export type EngineOrder =
    | { readonly kind: "loadModel"; readonly model: string; readonly version: string; }
    | { readonly kind: "loadAdapter"; readonly adapter: string; }
    | { readonly kind: "setRole"; readonly role: EngineRole; }
    | { readonly kind: "drain"; };

/** Orders endpoints for a pool in a failure domain. */
export interface StartEndpoints {
    readonly kind: "startEndpoints";
    readonly failureDomain: string;
    readonly pool: string;
    readonly engineKind: string;
    /** Whether to order endpoints at the lower price, which the platform may reclaim. */
    readonly cheap: boolean;
    readonly count: number;
}

/** Releases an endpoint. */
export interface StopEndpoint {
    readonly kind: "stopEndpoint";
    readonly failureDomain: string;
    readonly endpoint: string;
}

/** Sends an instruction to an engine. */
export interface OrderEngine {
    readonly kind: "orderEngine";
    readonly endpoint: string;
    /** Host and port of the engine. */
    readonly address: string;
    readonly order: EngineOrder;
}

/** Makes the weight store transfer a model version to an endpoint. */
export interface LoadWeights {
    readonly kind: "loadWeights";
    readonly endpoint: string;
    readonly model: string;
    readonly version: string;
    /** 0 is the highest urgency. */
    readonly urgency: number;
}

/** An act: an operation requested from the platform or an engine. */
export type PlatformAct = StartEndpoints | StopEndpoint | OrderEngine | LoadWeights;

/** An endpoint granted by the platform. */
export interface GrantedEndpoint {
    readonly endpoint: string;
    /** Host and port. */
    readonly address: string;
    readonly failureDomain: string;
    readonly pool: string;
    readonly cheap: boolean;
}

/** Final result of an act. */
export type ActAnswer =
    | {
        readonly kind: "granted";
        readonly granted: readonly GrantedEndpoint[];
        /** Number of ordered endpoints that were unavailable. */
        readonly unavailable: number;
    }
    | { readonly kind: "done"; }
    | { readonly kind: "failed"; readonly reason: string; };

/** An act with its id. */
export interface IdentifiedAct {
    /** Unique among all acts of all leaders. */
    readonly actId: string;
    readonly act: PlatformAct;
}

/** Records the acts of one decision atomically, before they are carried out. */
export interface IntendActs {
    readonly kind: "intendActs";
    readonly acts: readonly IdentifiedAct[];
    /** Fleet revision on which the decision was based; the command is refused if the revision has changed. */
    readonly basedOn: number;
    readonly at: UnixMilliseconds;
}

/** Records the result of an act. */
export interface AnswerAct {
    readonly kind: "answerAct";
    readonly actId: string;
    readonly answer: ActAnswer;
    readonly at: UnixMilliseconds;
}

/** State of an ordered endpoint. */
export type EndpointState =
    /** Granted, but not yet seen ready. */
    | "starting"
    | "live"
    /** Takes no new calls, because this system is releasing it. */
    | "draining"
    /** Takes no new calls, because the platform is reclaiming it. */
    | "leaving";

/** Records an observed state of an ordered endpoint. */
export interface ObserveEndpoint {
    readonly kind: "observeEndpoint";
    readonly endpoint: string;
    readonly state: EndpointState | "gone";
    /** Model version that it serves, if known. */
    readonly version?: string;
    readonly at: UnixMilliseconds;
}

/** A command for the platform section of the replicated state. */
export type PlatformCommand = IntendActs | AnswerAct | ObserveEndpoint;

/** Reason why a platform command was refused. */
export type PlatformRefusalReason =
    /** The fleet has changed since the decision, which must be made again. */
    | "fleetChanged"
    /** The id belongs to a different act. */
    | "actIdTaken"
    /** A different answer to the act is already recorded. */
    | "answerDiffers"
    | "actUnknown"
    | "endpointUnknown"
    /** An act of the same kind for the endpoint is still open. */
    | "actOpen"
    /** The endpoint must be drained before it is released. */
    | "endpointNotDrained";

/** Result of applying a platform command. */
export type PlatformOutcome =
    | { readonly kind: "accepted"; }
    | { readonly kind: "refused"; readonly reason: PlatformRefusalReason; };
