import type { ServerResponse } from "node:http";
import { formatOrigin, formatRun, relayHeaderNames } from "../../connection/hosted/relayHeaders.js";
import type { RelayedCall, ResponseSource } from "../../connection/hosted/relayHeaders.js";
import type { KnownRun } from "../../process/hosted/endpointRecord.js";
import type { StreamOrigin } from "../../process/hosted/streamOrigin.js";

/** Tells the entry that relayed a call what the response is; does nothing for a caller's own calls. */
export class RelayedResponseHeaders {
    /**
     * @param relayed Undefined for a call that a caller sent to this entry itself.
     * @param version The version of the configuration in force.
     * @param origin What began the stream that the response is; undefined if that is not known.
     * @param endpoint The endpoint to which the call was sent last.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly relayed: RelayedCall | undefined,
        private readonly version: () => number,
        private readonly origin: () => StreamOrigin | undefined,
        private readonly endpoint: () => KnownRun | undefined,
    ) {}

    /** Whether another entry asked for the response. */
    get isRelayed(): boolean {
        return this.relayed !== undefined;
    }

    /** Sets the headers; must be called before the head of the response is written. */
    set(source: ResponseSource): void {
        const { response, relayed, version, origin, endpoint } = this;
        if (relayed?.version === undefined || response.headersSent) {
            return;
        }
        response.setHeader(relayHeaderNames.source, source);
        response.setHeader(relayHeaderNames.version, String(version()));
        const run = source === "endpoint" && relayed.understandsEndpoint ? endpoint() : undefined;
        if (run !== undefined) {
            response.setHeader(relayHeaderNames.endpoint, formatRun(run));
        }
        const streamOrigin = source === "endpoint" ? origin() : undefined;
        if (streamOrigin?.softwareVersion !== undefined) {
            response.setHeader(relayHeaderNames.origin, formatOrigin(streamOrigin));
        }
    }
}
