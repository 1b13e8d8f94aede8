import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2000–2099: start and stop of a process. */
export const processEvents = {
    processStarted: {
        number: 2000,
        level: "info",
        text: "The process started.",
        fields: ["role", "address", "failureDomain", "version"],
    },
    processStopping: { number: 2001, level: "info", text: "The process is stopping.", fields: ["reason"] },
    processStopped: { number: 2002, level: "info", text: "The process released all of its resources.", fields: [] },
    signalIgnored: {
        number: 2003,
        level: "info",
        text: "A further signal arrived; the shutdown that is under way goes on.",
        fields: ["signal", "elapsed"],
    },
    connectionClosed: {
        number: 2004,
        level: "warn",
        text: "The connection of a client was closed because of what the client did, or for want of connections.",
        fields: ["listener", "address", "reason"],
    },
    taskFailed: {
        number: 2010,
        level: "error",
        text: "A task failed with an unexpected error.",
        fields: ["task", "reason"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
