import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2100–2199: replicated log, lease, membership and configuration. */
export const controlEvents = {
    leaderElected: {
        number: 2100,
        level: "info",
        text: "A leader was elected.",
        fields: ["term", "leader"],
    },
    manifestAccepted: {
        number: 2110,
        level: "info",
        text: "A manifest was accepted.",
        fields: ["manifestNumber", "digest", "operator", "version"],
    },
    keyWithdrawn: {
        number: 2111,
        level: "info",
        text: "A key was withdrawn.",
        fields: ["digest", "operator", "version"],
    },
    connectionRejected: {
        number: 2120,
        level: "warn",
        text: "A connection was closed because of its content.",
        fields: ["address", "code"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
