/** Request headers that are forwarded to the endpoint; all others are dropped. */
export const forwardedRequestHeaders: readonly string[] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-none-match",
];

/** Response headers that are forwarded to the caller; all others are dropped. */
export const forwardedResponseHeaders: readonly string[] = [
    "content-type",
    "content-language",
    "etag",
    "last-modified",
    "location",
    "cache-control",
    "retry-after",
];
