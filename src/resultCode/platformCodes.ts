import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1400–1499: orders, weight loads and usage reports towards the platform. */
export const platformCodes = {
    leaseLost: {
        number: 1400,
        httpStatus: 503,
        text: "The act was given up because this process no longer holds the lease.",
        advice: "The next leader repeats it under the same id.",
    },
    platformUnavailable: {
        number: 1401,
        httpStatus: 503,
        text: "The platform interface of {failureDomain} did not answer: {reason}.",
        advice: "It is asked again with the same id.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
