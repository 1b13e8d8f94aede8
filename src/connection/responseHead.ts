import type { IncomingMessage } from "node:http";

/** Lowest status of a final response (RFC 9110, section 15). */
const lowestFinalStatus = 200;

/** Highest status of a response (RFC 9110, section 15). */
const highestStatus = 599;

/** A name of a header (RFC 9110, section 5.6.2). */
const headerName = /^[!#$%&'*+.^`|~\w-]+$/;

/**
 * Why the head of a final response violates HTTP; undefined if it is valid.
 *
 * `node:http` accepts any three digits as a status, and names of headers that are empty or contain blanks.
 */
export function invalidHeadReason({ statusCode = 0, rawHeaders }: IncomingMessage): string | undefined {
    if (statusCode < lowestFinalStatus || statusCode > highestStatus) {
        return `${String(statusCode).padStart(3, "0")} is no status of a response`;
    }
    const invalidName = rawHeaders.find((name, index) => index % 2 === 0 && !headerName.test(name));
    return invalidName === undefined ? undefined : `${JSON.stringify(invalidName)} is no name of a header`;
}
