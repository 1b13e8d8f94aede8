import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2000–2099: start and stop of a process. */
export const processEvents = {
    processStarted: {
        number: 2000,
        level: "info",
        text: "The process serves.",
        fields: ["role", "address", "failureDomain", "version"],
    },
    processStopping: { number: 2001, level: "info", text: "The process stops.", fields: ["reason"] },
    processStopped: { number: 2002, level: "info", text: "The process has released everything.", fields: [] },
    taskFailed: {
        number: 2010,
        level: "error",
        text: "A task ended with an unexpected error.",
        fields: ["task", "reason"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
