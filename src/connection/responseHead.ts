import type { IncomingMessage } from "node:http";
import type { ResponseFault } from "./responseFault.js";

/** Lowest status of a final response (RFC 9110, section 15). */
const lowestFinalStatus = 200;

/** Highest status of a response (RFC 9110, section 15). */
const highestStatus = 599;

/** A name of a header (RFC 9110, section 5.6.2). */
const headerName = /^[!#$%&'*+.^`|~\w-]+$/;

/** How the head of a response violates HTTP. */
export interface HeadViolation {
    readonly fault: Extract<ResponseFault, "invalidStatus" | "invalidHeader">;
    readonly reason: string;
}

/**
 * Finds out whether the head of a final response violates HTTP; undefined if it does not.
 *
 * `node:http` accepts any three digits as a status, and names of headers that are empty or contain blanks.
 */
export function findHeadViolation({ statusCode = 0, rawHeaders }: IncomingMessage): HeadViolation | undefined {
    if (statusCode < lowestFinalStatus || statusCode > highestStatus) {
        return {
            fault: "invalidStatus",
            reason: `${String(statusCode).padStart(3, "0")} is no status of a response`,
        };
    }
    const invalidName = rawHeaders.find((name, index) => index % 2 === 0 && !headerName.test(name));
    return invalidName === undefined
        ? undefined
        : { fault: "invalidHeader", reason: `${JSON.stringify(invalidName)} is no name of a header` };
}
