import type { EndpointGroup } from "../process/entry/endpointGroup.js";
import type { EndpointState } from "../process/entry/endpointState.js";
import type { Milliseconds } from "../util/clock.js";
import type { PendingRequest } from "./pendingRequest.js";

/** Chooses the endpoint of a request. */
export abstract class EndpointChooser {
    /**
     * @param group The endpoints that have what the request needs.
     * @returns One of the group's available endpoints, or undefined when there is none.
     */
    abstract choose(group: EndpointGroup, request: PendingRequest, now: Milliseconds): EndpointState | undefined;
}
