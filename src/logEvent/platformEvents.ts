import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2300–2399: capacity plans, orders, weight loads and usage reports. */
export const platformEvents = {
    orderSent: {
        number: 2300,
        level: "info",
        text: "An order was sent to the platform.",
        fields: ["orderId", "failureDomain", "kind", "fencingNumber"],
    },
    orderAnswered: {
        number: 2301,
        level: "info",
        text: "The platform responded to an order.",
        fields: ["orderId", "failureDomain", "granted"],
    },
    actAnswered: {
        number: 2310,
        level: "info",
        text: "The platform or an engine responded to an action.",
        fields: ["actId", "kind", "target", "result", "detail"],
    },
    actRetried: {
        number: 2311,
        level: "warn",
        text: "An action is retried with the same id.",
        fields: ["actId", "kind", "target", "attempt", "reason"],
    },
    endpointNotOrdered: {
        number: 2320,
        level: "warn",
        text: "The platform lists an endpoint that this system never ordered; it is neither used nor stopped.",
        fields: ["endpoint", "failureDomain", "pool"],
    },
    endpointLeaving: {
        number: 2321,
        level: "warn",
        text: "The platform is reclaiming an endpoint.",
        fields: ["endpoint", "failureDomain", "pool", "leavesAt"],
    },
    endpointGone: {
        number: 2322,
        level: "warn",
        text: "An ordered endpoint is no longer on the platform's list.",
        fields: ["endpoint", "failureDomain", "pool"],
    },
    vmRowsUnreadable: {
        number: 2324,
        level: "warn",
        text: "Rows of the platform's list of VMs cannot be read; the others are used.",
        fields: ["count", "rows"],
    },
    vmListUnreadable: {
        number: 2323,
        level: "warn",
        text: "The platform's list of VMs could not be read.",
        fields: ["reason"],
    },
    capacityPlanned: {
        number: 2330,
        level: "info",
        text: "The capacity plan of a pool changed.",
        fields: ["pool", "steady", "cheap", "demand", "serviceRate", "spendPerHour", "reasons"],
    },
    spendLimitReached: {
        number: 2331,
        level: "warn",
        text: "The spend limit keeps a pool below the capacity that its targets require.",
        fields: ["pool", "spendLimitPerHour", "missingEndpoints", "firstTierAtRisk"],
    },
    versionRolledBack: {
        number: 2332,
        level: "error",
        text: "The rollout of a version failed and is rolled back.",
        fields: ["pool", "version", "previousVersion", "failures"],
    },
    usageWindowReported: {
        number: 2341,
        level: "info",
        text: "The platform accepted a usage report.",
        fields: ["window", "digest"],
    },
    usageReportFailed: {
        number: 2342,
        level: "warn",
        text: "A usage report was not accepted and is sent again unchanged.",
        fields: ["window", "reason"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
