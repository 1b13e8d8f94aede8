import type { EndpointState } from "../process/entry/endpointState.js";
import type { Milliseconds } from "../util/clock.js";
import type { PendingRequest } from "./pendingRequest.js";

/** Chooses the endpoint of a request. */
export abstract class EndpointChooser {
    /**
     * @param candidates Endpoints with at least one free slot, none of which leaves; not empty.
     * @returns One of the candidates, or undefined when none of them suits the request now.
     */
    abstract choose(
        candidates: readonly EndpointState[],
        request: PendingRequest,
        now: Milliseconds,
    ): EndpointState | undefined;
}
