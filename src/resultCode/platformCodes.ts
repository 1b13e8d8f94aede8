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
    callFailed: {
        number: 1410,
        httpStatus: 502,
        text: "The call to {address} failed: {reason}.",
        advice: "It is repeated under the same id.",
    },
    callTimedOut: {
        number: 1411,
        httpStatus: 504,
        text: "The call to {address} had no answer within {timeLimit} ms.",
        advice: "It is repeated under the same id.",
    },
    platformAnswerMalformed: {
        number: 1412,
        httpStatus: 502,
        text: "The answer of {address} can't be understood: {reason}.",
        advice: "Compare the platform's interface with docs/INTERFACES.md; the call is repeated.",
    },
    platformRefused: {
        number: 1413,
        httpStatus: 502,
        text: "{address} answered with status {status}.",
        advice: "The call is repeated; look into the platform's own log if this goes on.",
    },
    fencingNumberStale: {
        number: 1414,
        httpStatus: 409,
        text: "{address} has seen the fencing number {newest}, which is newer than {own}.",
        advice: "Another leader is or was in charge; this one gives up when its lease ends.",
    },
    usageReportConflict: {
        number: 1420,
        httpStatus: 409,
        text: "The platform holds another report of window {window}.",
        advice: "Compare the digests with gullhall usage; the sealed figures are not changed.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
