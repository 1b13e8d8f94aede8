import type { EndpointGroup } from "../process/entry/endpointGroup.js";
import type { EndpointState } from "../process/entry/endpointState.js";
import type { Milliseconds } from "../util/clock.js";
import type { PendingRequest } from "./pendingRequest.js";

/** Selects the endpoint that serves a request. */
export abstract class EndpointChooser {
    /**
     * @param group The endpoints that meet the requirements of the request.
     * @returns One of the group's available endpoints, or undefined if there is none.
     */
    abstract choose(group: EndpointGroup, request: PendingRequest, now: Milliseconds): EndpointState | undefined;
}
