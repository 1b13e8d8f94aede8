import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1400–1499: orders, weight loads and usage reports that are sent to the platform. */
export const platformCodes = {
    leaseLost: {
        number: 1400,
        httpStatus: 503,
        text: "The action was abandoned because this process no longer holds the lease.",
        advice: "The next leader retries it with the same id.",
    },
    platformUnavailable: {
        number: 1401,
        httpStatus: 503,
        text: "The platform interface of {failureDomain} did not answer: {reason}.",
        advice: "The request is retried with the same id.",
    },
    callFailed: {
        number: 1410,
        httpStatus: 502,
        text: "The call to {address} failed: {reason}.",
        advice: "The call is retried with the same id.",
    },
    callTimedOut: {
        number: 1411,
        httpStatus: 504,
        text: "The call to {address} received no response within {timeLimit} ms.",
        advice: "The call is retried with the same id.",
    },
    platformAnswerMalformed: {
        number: 1412,
        httpStatus: 502,
        text: "The response of {address} is malformed: {reason}.",
        advice: "Compare the platform's interface with docs/INTERFACES.md; the call is retried.",
    },
    platformRefused: {
        number: 1413,
        httpStatus: 502,
        text: "{address} responded with status {status}.",
        advice: "The call is retried; check the log of the platform if the error persists.",
    },
    fencingNumberStale: {
        number: 1414,
        httpStatus: 409,
        text: "{address} has seen the fencing number {newest}, which is newer than {own}.",
        advice: "A newer leader was elected; this one stops when its lease expires.",
    },
    usageReportConflict: {
        number: 1420,
        httpStatus: 409,
        text: "The platform has a different report for window {window}.",
        advice: "Compare the digests with `gullhall usage`; the sealed totals are not changed.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
