import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1300–1399: answers of an entry process to callers. */
export const entryCodes = {
    keyMissing: {
        number: 1300,
        httpStatus: 401,
        outcome: "notRun",
        text: "The request carries no key.",
        advice: "Send the key as a bearer token.",
    },
    keyUnknown: {
        number: 1301,
        httpStatus: 401,
        outcome: "notRun",
        text: "The key is unknown or withdrawn.",
        advice: "Ask the operator for a key.",
    },
    routeUnknown: {
        number: 1302,
        httpStatus: 404,
        outcome: "notRun",
        text: "No route serves {path} for this team.",
        advice: "Check the path and the model.",
    },
    bodyMalformed: {
        number: 1303,
        httpStatus: 400,
        outcome: "notRun",
        text: "The body is not acceptable: {reason}.",
        advice: "Correct the body.",
    },
    bodyTooLarge: {
        number: 1304,
        httpStatus: 413,
        outcome: "notRun",
        text: "The body exceeds {limit} bytes.",
        advice: "Send a smaller body.",
    },
    permitExpired: {
        number: 1310,
        httpStatus: 503,
        outcome: "notRun",
        text: "This entry has no confirmed configuration.",
        advice: "Use another entry: {entries}.",
    },
    noEndpoint: {
        number: 1311,
        httpStatus: 503,
        outcome: "notRun",
        text: "No endpoint of pool {pool} can take the request.",
        advice: "Try again after the time in retry-after.",
    },
    endpointFailed: {
        number: 1320,
        httpStatus: 502,
        outcome: "unknown",
        text: "The endpoint failed before it answered.",
        advice: "Repeat only if the request may run twice.",
    },
    answerCut: {
        number: 1321,
        httpStatus: 502,
        outcome: "run",
        text: "The answer ended early and could not be resumed.",
        advice: "Send the request again.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
