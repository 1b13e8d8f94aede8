/** How a response is delimited, with the headers that say so. */
const framings: Readonly<Record<string, string>> = {
    "with a length": "Content-Length: 6\r\n",
    "in chunks": "Transfer-Encoding: chunked\r\n",
    "without a length": "Connection: close\r\n",
    "as a stream of events": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
};

/** A head of a response that ends early. */
export interface TruncatedHead {
    readonly title: string;
    readonly bytes: string;
}

/**
 * Heads that end at each kind of position: in the status line, in a name, in a value, in a line end, before and in the
 * empty line.
 *
 * @param identity Headers by which the response would be accepted if it were whole.
 */
export function truncatedHeads(identity: string): readonly TruncatedHead[] {
    return Object.entries(framings).flatMap(([framing, headers]) => {
        const head = `HTTP/1.1 200 OK\r\n${identity}${headers}\r\n`;
        const name = head.indexOf(identity) + 4;
        const value = head.indexOf(": ", name) + 4;
        const lineEnd = head.indexOf("\r\n", value) + 1;
        const positions: Readonly<Record<string, number>> = {
            "in the version": 5,
            "in the status": 10,
            "in the reason": 14,
            "behind the status line": 17,
            "in a name": name,
            "in a value": value,
            "in a line end": lineEnd,
            "in the last value": head.length - 6,
            "before the empty line": head.length - 2,
            "in the empty line": head.length - 1,
        };
        return Object.entries(positions).map(([position, length]) => {
            return { title: `${framing}, ${position}`, bytes: head.slice(0, length) };
        });
    });
}
