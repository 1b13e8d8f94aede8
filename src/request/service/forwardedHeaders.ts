/** Request headers that go on to the endpoint; all others stay behind. */
export const forwardedRequestHeaders: readonly string[] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-none-match",
];

/** Answer headers that go back to the caller; all others stay behind. */
export const forwardedAnswerHeaders: readonly string[] = [
    "content-type",
    "content-language",
    "etag",
    "last-modified",
    "location",
    "cache-control",
    "retry-after",
];
