import type { EndpointRecord } from "../../../../src/process/hosted/endpointRecord.js";
import { HostedEndpoint } from "../../../../src/process/hosted/entry/hostedEndpoint.js";

/** Creates a record of an endpoint as the platform lists it. */
export function createEndpointRecord(id: string, changes: Partial<EndpointRecord> = {}): EndpointRecord {
    return {
        id,
        service: "engines",
        address: `127.0.0.1:${10_000 + Number.parseInt(id, 36) % 10_000}`,
        failureDomain: "north",
        slots: 8,
        isLeaving: false,
        warmUpTime: 0,
        isSpot: false,
        softwareVersion: "v1",
        ...changes,
    };
}

/** Creates endpoints with the ids e0, e1 and so on. */
export function createEndpoints(count: number): readonly HostedEndpoint[] {
    return Array.from(Array(count).keys(), index => new HostedEndpoint(createEndpointRecord(`e${index}`)));
}
