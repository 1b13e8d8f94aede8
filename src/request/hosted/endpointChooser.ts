import type { ServiceWork } from "../../connection/hosted/linkMessages.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute, DeployedService } from "../../version/deployment.js";
import type { CallTraits } from "./callTraits.js";

/** A call that needs an endpoint. */
export interface CallToPlace {
    readonly route: DeployedRoute;
    readonly service: DeployedService;
    readonly traits: CallTraits;
    /** 0 to 9; 0 goes first at the endpoints. */
    readonly urgency: number;
    /** The shortest pause that any stream at the service may have; undefined where none is bounded. */
    readonly shortestPause: Milliseconds | undefined;
    /** Endpoints that have failed or refused the call already. */
    readonly excluded: ReadonlySet<HostedEndpoint>;
}

/** An endpoint and what is expected of it. */
export interface Placement {
    readonly endpoint: HostedEndpoint;
    /** Time until the endpoint begins to work on the call, or sends the first event, in milliseconds. */
    readonly predictedWait: Milliseconds;
    /** Prompt tokens that the endpoint must read for the call. */
    readonly unreadTokens: number;
}

/** Decides which endpoint takes a call. */
export abstract class EndpointChooser {
    /**
     * The best endpoint for a call; undefined where no endpoint can take it.
     *
     * @param candidates The endpoints of the call's service that take new work.
     */
    abstract choose(
        call: CallToPlace,
        candidates: readonly HostedEndpoint[],
        now: Milliseconds,
    ): Placement | undefined;

    /** Engine time that the placed calls take of each service, in milliseconds a second. */
    abstract workPerSecond(now: Milliseconds): ServiceWork;

    /** Takes the engine time that the calls of all entries take. */
    abstract noteFleetWork(work: ServiceWork, now: Milliseconds): void;

    /** Learns that a placed call has begun to run. */
    abstract noteBegun(call: CallToPlace, placement: Placement, waited: Milliseconds, now: Milliseconds): void;
}
