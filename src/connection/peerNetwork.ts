import type { Milliseconds } from "../util/clock.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";

/** Handles the requests for one log group. */
export abstract class PeerRequestHandler {
    /** Handles a request; sends no response if the result is undefined. */
    abstract handle(request: PeerRequest): Promise<PeerResponse | undefined>;
}

/** Sends requests to the other control processes. Requests may be lost, delayed, duplicated and reordered. */
export abstract class PeerNetwork {
    /**
     * Sends a request to the process at an address.
     *
     * @param timeout Timeout for the response, in milliseconds.
     * @returns The response, or undefined if none arrived in time; the request may have taken effect nevertheless.
     */
    abstract request(address: string, request: PeerRequest, timeout: Milliseconds): Promise<PeerResponse | undefined>;

    /** Registers the handler of the requests for a log group until the returned object is disposed. */
    abstract register(group: string, handler: PeerRequestHandler): Disposable;
}
