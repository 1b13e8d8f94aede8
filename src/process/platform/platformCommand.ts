import type { UnixMilliseconds } from "../../util/clock.js";

/** Role of a model engine. */
export type EngineRole = "mixed" | "prefill" | "decode";

/** What an engine can be told to do. */
export type EngineOrder =
    | { readonly kind: "loadModel"; readonly model: string; readonly version: string; }
    | { readonly kind: "loadAdapter"; readonly adapter: string; }
    | { readonly kind: "setRole"; readonly role: EngineRole; }
    | { readonly kind: "drain"; };

/** Orders endpoints of a pool in a failure domain. */
export interface StartEndpoints {
    readonly kind: "startEndpoints";
    readonly failureDomain: string;
    readonly pool: string;
    readonly engineKind: string;
    readonly cheap: boolean;
    readonly count: number;
}

/** Gives an endpoint back. */
export interface StopEndpoint {
    readonly kind: "stopEndpoint";
    readonly failureDomain: string;
    readonly endpoint: string;
}

/** Tells an engine to do something. */
export interface OrderEngine {
    readonly kind: "orderEngine";
    readonly endpoint: string;
    /** Host and port of the engine. */
    readonly address: string;
    readonly order: EngineOrder;
}

/** Lets the weight store send a model version to an endpoint. */
export interface LoadWeights {
    readonly kind: "loadWeights";
    readonly endpoint: string;
    readonly model: string;
    readonly version: string;
    /** 0 is the most urgent. */
    readonly urgency: number;
}

/** An act towards the platform or an engine. */
export type PlatformAct = StartEndpoints | StopEndpoint | OrderEngine | LoadWeights;

/** An endpoint that the platform granted. */
export interface GrantedEndpoint {
    readonly endpoint: string;
    /** Host and port. */
    readonly address: string;
    readonly failureDomain: string;
    readonly pool: string;
    readonly cheap: boolean;
}

/** How an act ended. */
export type ActAnswer =
    | {
        readonly kind: "granted";
        readonly granted: readonly GrantedEndpoint[];
        /** How many of the endpoints asked for could not be had. */
        readonly unavailable: number;
    }
    | { readonly kind: "done"; }
    | { readonly kind: "failed"; readonly reason: string; };

/** An act with its id. */
export interface IdentifiedAct {
    /** Unique over all acts of all leaders. */
    readonly actId: string;
    readonly act: PlatformAct;
}

/** Fixes the acts of one decision, all or none, before they are carried out. */
export interface IntendActs {
    readonly kind: "intendActs";
    readonly acts: readonly IdentifiedAct[];
    /** Revision of the fleet on which the decision was based; another one refuses the acts. */
    readonly basedOn: number;
    readonly at: UnixMilliseconds;
}

/** Records the answer to an act. */
export interface AnswerAct {
    readonly kind: "answerAct";
    readonly actId: string;
    readonly answer: ActAnswer;
    readonly at: UnixMilliseconds;
}

/** State of an ordered endpoint. */
export type EndpointState =
    /** Granted, but not yet seen ready for work. */
    | "starting"
    | "live"
    /** It takes nothing new, because this system gives it back. */
    | "draining"
    /** It takes nothing new, because the platform takes it back. */
    | "leaving";

/** Records a change of an ordered endpoint. */
export interface ObserveEndpoint {
    readonly kind: "observeEndpoint";
    readonly endpoint: string;
    readonly state: EndpointState | "gone";
    /** Version that it serves, where that became known. */
    readonly version?: string;
    readonly at: UnixMilliseconds;
}

/** A command to the platform section of the replicated state. */
export type PlatformCommand = IntendActs | AnswerAct | ObserveEndpoint;

/** Why a platform command had no effect. */
export type PlatformRefusalReason =
    /** The fleet has changed since the decision; decide again. */
    | "fleetChanged"
    /** The id stands for another act. */
    | "actIdTaken"
    /** The act was answered otherwise before. */
    | "answerDiffers"
    | "actUnknown"
    | "endpointUnknown"
    /** An act of this kind for the endpoint is still open. */
    | "actOpen"
    /** The endpoint must drain before it is given back. */
    | "endpointNotDrained";

/** What a platform command led to. */
export type PlatformOutcome =
    | { readonly kind: "accepted"; }
    | { readonly kind: "refused"; readonly reason: PlatformRefusalReason; };
