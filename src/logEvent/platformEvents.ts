import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2300–2399: capacity plans, orders, weight loads, usage reports. */
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
        text: "The platform answered an order.",
        fields: ["orderId", "failureDomain", "granted"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
