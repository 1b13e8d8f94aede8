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
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
