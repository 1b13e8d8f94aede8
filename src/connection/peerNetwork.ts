import type { Milliseconds } from "../util/clock.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";

/** Answers the requests for one log group. */
export abstract class PeerRequestHandler {
    /** Answers a request; undefined leaves it unanswered. */
    abstract handle(request: PeerRequest): Promise<PeerResponse | undefined>;
}

/** The way from one control process to the others. Requests may be lost, delayed, repeated and reordered. */
export abstract class PeerNetwork {
    /**
     * Sends a request to the process at an address.
     *
     * @param timeout Longest wait for the answer, in milliseconds.
     * @returns The answer, or undefined when none arrived in time; the request may have had its effect all the same.
     */
    abstract request(address: string, request: PeerRequest, timeout: Milliseconds): Promise<PeerResponse | undefined>;

    /** Lets a handler answer the requests for a log group until the returned object is disposed. */
    abstract register(group: string, handler: PeerRequestHandler): Disposable;
}
