import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2200–2299: requests, endpoints and the state of an entry. */
export const entryEvents = {
    requestRefused: {
        number: 2200,
        level: "info",
        text: "A request was refused.",
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
        text: "A configuration is in force.",
        fields: ["version"],
    },
    permitLost: {
        number: 2211,
        level: "warn",
        text: "The permit to serve has lapsed.",
        fields: ["version"],
    },
    pressureBegan: {
        number: 2220,
        level: "warn",
        text: "Requests of a tier can no longer all be served in time.",
        fields: ["pool", "tier", "queued"],
    },
    pressureEnded: {
        number: 2221,
        level: "info",
        text: "Requests of a tier can be served in time again.",
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
        text: "The summary of the other entries is too old; admission is decided without it.",
        fields: ["pool", "age"],
    },
    endpointSetAside: {
        number: 2240,
        level: "warn",
        text: "An endpoint gets no work until a probe succeeds.",
        fields: ["pool", "endpoint", "fault"],
    },
    endpointReturned: {
        number: 2241,
        level: "info",
        text: "A probe of an endpoint succeeded; it gets work on trial.",
        fields: ["pool", "endpoint"],
    },
    foreignAnswerDropped: {
        number: 2242,
        level: "warn",
        text: "Parts of an answer to another request were dropped.",
        fields: ["requestId", "endpoint", "parts"],
    },
    answerResumed: {
        number: 2243,
        level: "info",
        text: "An answer that broke off is resumed at its next token.",
        fields: ["requestId", "endpoint", "nextToken", "reason"],
    },
    callerCut: {
        number: 2244,
        level: "warn",
        text: "A caller was cut off because it did not take its answer.",
        fields: ["requestId"],
    },
    callerRefused: {
        number: 2245,
        level: "info",
        text: "A caller's bytes were refused before they became a request.",
        fields: ["address", "code"],
    },
    usageUndelivered: {
        number: 2212,
        level: "error",
        text: "The entry stops although control has not confirmed all of its usage records.",
        fields: [],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
