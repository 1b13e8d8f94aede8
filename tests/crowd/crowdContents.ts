/** Size of the headers that the limits of the installation allow, in bytes. */
const allowedHeaderBytes = 16_000;

/** A request with its lines as they are. */
function requestOf(firstLine: string, ...lines: readonly string[]): Buffer {
    return Buffer.from([firstLine, ...lines, "", ""].join("\r\n"), "latin1");
}

/** As many lines as fit into the headers that are allowed. */
function manyLines(lineOf: (index: number) => string): readonly string[] {
    const lines: string[] = [];
    for (let size = 0; size < allowedHeaderBytes;) {
        const line = lineOf(lines.length);
        size += line.length + 2;
        lines.push(line);
    }
    return lines;
}

/** Contents that anybody can send to a listener for HTTP, by title. */
export const anonymousContents: Readonly<Record<string, Buffer>> = {
    "at paths without a route": requestOf("GET /nowhere HTTP/1.1", "Host: a"),
    "without Host": requestOf("GET /nowhere HTTP/1.1"),
    "in HTTP/1.0 with keep-alive": requestOf("GET /nowhere HTTP/1.0", "Connection: keep-alive"),
    "with unknown expectations": requestOf("GET /nowhere HTTP/1.1", "Host: a", "Expect: miracles"),
    "with expected interim responses": requestOf(
        "POST /nowhere HTTP/1.1",
        "Host: a",
        "Expect: 100-continue",
        "Content-Length: 0",
    ),
    "with offered upgrades": requestOf("GET /nowhere HTTP/1.1", "Host: a", "Connection: upgrade", "Upgrade: odd"),
    "with bodies in chunks": Buffer.from(
        "POST /nowhere HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    ),
    "with bodies with a length": Buffer.from("POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na"),
    "of short lines": requestOf("GET /nowhere HTTP/1.1", "Host: a", ...manyLines(() => "a:")),
    "of odd names": requestOf("GET /nowhere HTTP/1.1", "Host: a", ...manyLines(index => `!#$%&'*+-.^_\`|~${index}: x`)),
    "of cookies": requestOf("GET /nowhere HTTP/1.1", "Host: a", ...manyLines(index => `Cookie: c${index}=v`)),
};

/**
 * Requests of a caller with a key, by title.
 *
 * @param firstLines Request line and headers of a request that is answered.
 */
export function callerContents(firstLines: readonly [string, ...string[]]): Readonly<Record<string, Buffer>> {
    const [firstLine, ...lines] = firstLines;
    return {
        "that are answered": requestOf(firstLine, ...lines, "Content-Length: 0"),
        "that are answered, of short lines": requestOf(
            firstLine,
            ...lines,
            "Content-Length: 0",
            ...manyLines(() => "a:"),
        ),
    };
}

/** Requests with large bodies. */
export function uploadContent(firstLines: readonly [string, ...string[]], bodyBytes: number): Buffer {
    const [firstLine, ...lines] = firstLines;
    return Buffer.concat([
        requestOf(firstLine, ...lines, `Content-Length: ${bodyBytes}`),
        Buffer.alloc(bodyBytes, "x"),
    ]);
}

/** A request whose large body never ends. */
export function unfinishedUpload(
    firstLines: readonly [string, ...string[]],
    bodyBytes: number,
    missingBytes: number,
): Buffer {
    const upload = uploadContent(firstLines, bodyBytes);
    return upload.subarray(0, upload.length - missingBytes);
}

/** The beginning of a frame between processes that never ends. */
export function unfinishedFrame(frameBytes: number): Buffer {
    const frame = Buffer.alloc(frameBytes, "x");
    frame.writeUInt32BE(frameBytes, 0);
    return frame;
}
