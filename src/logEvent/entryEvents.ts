import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2200–2299: requests, endpoints and the state of an entry. */
export const entryEvents = {
    requestRefused: {
        number: 2200,
        level: "info",
        text: "A request was rejected.",
        fields: ["requestId", "team", "requestClass", "code"],
    },
    requestFailed: {
        number: 2201,
        level: "warn",
        text: "A request failed after dispatch.",
        fields: ["requestId", "team", "requestClass", "endpoint", "code"],
    },
    configurationInForce: {
        number: 2210,
        level: "info",
        text: "A configuration took effect.",
        fields: ["version"],
    },
    permitLost: {
        number: 2211,
        level: "warn",
        text: "The permit to serve has expired.",
        fields: ["version"],
    },
    pressureBegan: {
        number: 2220,
        level: "warn",
        text: "Not all requests of a tier can be served in time.",
        fields: ["pool", "tier", "queued"],
    },
    pressureEnded: {
        number: 2221,
        level: "info",
        text: "All requests of a tier can be served in time again.",
        fields: ["pool", "tier"],
    },
    requestPreempted: {
        number: 2222,
        level: "info",
        text: "A running request was interrupted for one of a higher tier; it will be resumed.",
        fields: ["requestId", "pool", "tier", "forTier"],
    },
    neighbourSummaryStale: {
        number: 2223,
        level: "warn",
        text: "The load summary of the other entries is too old; admission control ignores it.",
        fields: ["pool", "age"],
    },
    endpointSetAside: {
        number: 2240,
        level: "warn",
        text: "An endpoint receives no requests until a probe succeeds.",
        fields: ["pool", "endpoint", "fault"],
    },
    endpointReturned: {
        number: 2241,
        level: "info",
        text: "A probe of an endpoint succeeded; it receives trial requests.",
        fields: ["pool", "endpoint"],
    },
    foreignAnswerDropped: {
        number: 2242,
        level: "warn",
        text: "Parts of a response to another request were discarded.",
        fields: ["requestId", "endpoint", "parts"],
    },
    answerResumed: {
        number: 2243,
        level: "info",
        text: "An interrupted response is resumed at its next token.",
        fields: ["requestId", "endpoint", "nextToken", "reason"],
    },
    callerCut: {
        number: 2244,
        level: "warn",
        text: "A caller was disconnected because it did not read its response.",
        fields: ["requestId"],
    },
    callerRefused: {
        number: 2245,
        level: "info",
        text: "Data from a caller was rejected before it was parsed as a request.",
        fields: ["address", "code"],
    },
    endpointResponseFailed: {
        number: 2246,
        level: "warn",
        text: "The response of an endpoint is missing, incomplete or invalid.",
        fields: ["requestId", "endpoint", "fault", "reason"],
    },
    usageUndelivered: {
        number: 2212,
        level: "error",
        text: "The entry stops before the control processes have confirmed all of its usage records.",
        fields: [],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
