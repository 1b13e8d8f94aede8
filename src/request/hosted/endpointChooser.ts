import type { ServiceWork } from "../../connection/hosted/linkMessages.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute, DeployedService } from "../../version/deployment.js";
import type { CallTraits } from "./callTraits.js";

/** A call for which an endpoint is to be chosen. */
export interface PlacementRequest {
    readonly route: DeployedRoute;
    readonly service: DeployedService;
    readonly traits: CallTraits;
    /** Priority at the endpoints, from 0 (highest) to 9. */
    readonly urgency: number;
    /** Smallest target for the gap between events among all routes of the service; undefined if none has a target. */
    readonly minimumEventGapTarget: Milliseconds | undefined;
    /** Endpoints that the call was already sent to. */
    readonly excluded: ReadonlySet<HostedEndpoint>;
}

/** The endpoint chosen for a call, with the prediction for it. */
export interface Placement {
    readonly endpoint: HostedEndpoint;
    /**
     * Predicted time until the first event, or until the endpoint of a service without an engine starts the call, in
     * milliseconds.
     */
    readonly predictedWait: Milliseconds;
    /** Prompt tokens that are presumably not in the endpoint's prefix cache and need a prefill. */
    readonly uncachedTokens: number;
}

/** Chooses the endpoint for each call. */
export abstract class EndpointChooser {
    /**
     * Chooses the best endpoint for a call; undefined if none is available.
     *
     * @param candidates Endpoints of the call's service that accept new calls.
     */
    abstract choose(
        call: PlacementRequest,
        candidates: readonly HostedEndpoint[],
        now: Milliseconds,
    ): Placement | undefined;

    /** Engine time used by the calls that this entry placed, by service, in milliseconds per second. */
    abstract ownWork(now: Milliseconds): ServiceWork;

    /** Records the engine time used by the calls of all entries, by service. */
    abstract recordTotalWork(work: ServiceWork, now: Milliseconds): void;

    /**
     * Records that a placed call has started to run.
     *
     * @param waitTime Time since the call was sent to the endpoint, in milliseconds.
     */
    abstract recordStart(call: PlacementRequest, placement: Placement, waitTime: Milliseconds, now: Milliseconds): void;
}
