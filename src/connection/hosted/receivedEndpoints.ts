import { applyEndpointChanges, endpointsByIncarnation } from "../../process/hosted/endpointChanges.js";
import type { EndpointRecord } from "../../process/hosted/endpointRecord.js";
import type { ControlMessage } from "./linkMessages.js";

/** A message with a list of endpoints, or with its changes. */
export type EndpointsMessage = Extract<ControlMessage, { kind: "endpoints" | "endpointChanges"; }>;

/** The newest list of endpoints that was received on a link. */
export class ReceivedEndpoints {
    private endpoints: ReadonlyMap<string, EndpointRecord> = new Map();
    private currentRevision: number | undefined;

    /** Number of the list; undefined before the first one, or if the sender does not number its lists. */
    get revision(): number | undefined {
        return this.currentRevision;
    }

    get records(): readonly EndpointRecord[] {
        return [...this.endpoints.values()];
    }

    /** Applies a message; returns whether it could be: changes refer to the list before. */
    apply(message: EndpointsMessage): boolean {
        if (message.kind === "endpoints") {
            this.endpoints = endpointsByIncarnation(message.endpoints);
        }
        else if (this.currentRevision === message.revision - 1) {
            this.endpoints = applyEndpointChanges(this.endpoints, message);
        }
        else {
            return false;
        }
        this.currentRevision = message.revision;
        return true;
    }
}
