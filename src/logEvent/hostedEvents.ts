import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2400–2499: processes of a hosted installation. */
export const hostedEvents = {
    settingsReloaded: {
        number: 2400,
        level: "info",
        text: "The settings were read anew.",
        fields: ["reason", "seeds"],
    },
    settingsRefused: {
        number: 2401,
        level: "error",
        text: "The settings cannot be used; those before stay in force.",
        fields: ["reason"],
    },
    logLinesDropped: {
        number: 2402,
        level: "warn",
        text: "Log lines were dropped because they came faster than they could be written.",
        fields: ["lines"],
    },
    documentAccepted: {
        number: 2410,
        level: "info",
        text: "A configuration was made durable.",
        fields: ["version", "current", "bytes"],
    },
    documentRefused: {
        number: 2411,
        level: "warn",
        text: "A configuration is invalid.",
        fields: ["version", "reason"],
    },
    documentOvertaken: {
        number: 2412,
        level: "info",
        text: "A configuration was acknowledged that a later one has overtaken.",
        fields: ["version", "current"],
    },
    documentUncommitted: {
        number: 2413,
        level: "warn",
        text: "A configuration was not committed in time; it may still be later.",
        fields: ["version"],
    },
    entryLinkBegan: {
        number: 2420,
        level: "info",
        text: "An entry has linked to this control process.",
        fields: ["entry", "incarnation", "version"],
    },
    entryLinkEnded: {
        number: 2421,
        level: "info",
        text: "The link of an entry has ended.",
        fields: ["entry", "incarnation"],
    },
    controlLinkBegan: {
        number: 2422,
        level: "info",
        text: "The link to a control process stands.",
        fields: ["address"],
    },
    controlLinkEnded: {
        number: 2423,
        level: "warn",
        text: "The link to a control process has ended.",
        fields: ["address", "reason"],
    },
    endpointListChanged: {
        number: 2430,
        level: "info",
        text: "The platform's list of endpoints has changed.",
        fields: ["endpoints", "leaving"],
    },
    endpointListLost: {
        number: 2431,
        level: "warn",
        text: "The platform's list of endpoints cannot be read.",
        fields: ["reason"],
    },
    endpointListRegained: {
        number: 2432,
        level: "info",
        text: "The platform's list of endpoints can be read again.",
        fields: ["endpoints"],
    },
    endpointListTaken: {
        number: 2433,
        level: "info",
        text: "The entry has taken over a list of endpoints.",
        fields: ["endpoints", "added", "removed", "leaving", "age"],
    },
    endpointsOrdered: {
        number: 2434,
        level: "info",
        text: "The number of endpoints of a service in a failure domain was ordered.",
        fields: ["service", "failureDomain", "kind", "count", "present", "status", "reason"],
    },
    usageWindowSealed: {
        number: 2440,
        level: "info",
        text: "The figures of a usage window are fixed.",
        fields: ["window", "calls", "position"],
    },
    permitGained: {
        number: 2450,
        level: "info",
        text: "A quorum confirms the configuration again.",
        fields: ["version"],
    },
    callDispatched: {
        number: 2460,
        level: "info",
        text: "A call was sent to an endpoint.",
        fields: ["requestId", "attempt", "endpoint", "version", "outstanding", "predictedWait", "remaining"],
    },
    callAttemptFailed: {
        number: 2461,
        level: "warn",
        text: "An endpoint did not answer a call as it should.",
        fields: ["requestId", "attempt", "endpoint", "outcome", "reason", "elapsed"],
    },
    callRefused: {
        number: 2462,
        level: "info",
        text: "A call was refused without having run.",
        fields: ["requestId", "team", "route", "code", "version", "permitAge", "waited", "retryAfter"],
    },
    callFailed: {
        number: 2463,
        level: "warn",
        text: "A call failed after it was sent to an endpoint.",
        fields: ["requestId", "team", "route", "code", "version", "waited"],
    },
    callAnswered: {
        number: 2465,
        level: "info",
        text: "A call was answered in full.",
        fields: ["requestId", "status", "attempts", "endpoint", "firstEvent", "longestPause", "total"],
    },
    callLeft: {
        number: 2464,
        level: "info",
        text: "A caller left before its answer was complete.",
        fields: ["requestId", "waited"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
