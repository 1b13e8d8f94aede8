/** A head that is no head of an HTTP response. */
export interface InvalidHead {
    readonly title: string;
    readonly bytes: string;
}

/** Status lines that HTTP does not define for a final response (RFC 9110, section 15; RFC 9112, section 4). */
const statusLines: Readonly<Record<string, string>> = {
    "status 000": "HTTP/1.1 000 OK",
    "status 001": "HTTP/1.1 001 OK",
    "status 099": "HTTP/1.1 099 OK",
    "status 600": "HTTP/1.1 600 OK",
    "status 999": "HTTP/1.1 999 OK",
    "a status of four digits": "HTTP/1.1 1000 OK",
    "a status of two digits": "HTTP/1.1 20 OK",
    "no status": "HTTP/1.1 OK",
    "a sign before the status": "HTTP/1.1 +200 OK",
    "status 000 behind an interim response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK",
    "status 000 before a sound response": "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK",
};

/** Lines that are no headers (RFC 9112, section 5). */
const headerLines: Readonly<Record<string, string>> = {
    "a blank in a name": "X Trouble: 1",
    "a tab in a name": "X\tTrouble: 1",
    "a control byte in a name": "X\x01Trouble: 1",
    "DEL in a name": "X\x7fTrouble: 1",
    "a byte over 127 in a name": "X\xe9Trouble: 1",
    "a slash in a name": "X/Trouble: 1",
    "an at sign in a name": "X@Trouble: 1",
    "a blank before the colon": "X-Trouble : 1",
    "a blank before the colon of Content-Length": "Content-Length : 4",
    "a blank before the colon of Transfer-Encoding": "Transfer-Encoding : chunked",
    "a leading blank in the first name": " X-Trouble: 1",
    "an empty name": ": 1",
    "no colon": "X-Trouble",
    "a control byte in a value": "X-Trouble: a\x01b",
    "NUL in a value": "X-Trouble: a\0b",
    "a lone carriage return in a value": "X-Trouble: a\rb",
};

/**
 * Responses whose head is invalid in one place, each with and without a length.
 *
 * @param identity Headers by which the response would be accepted if it were valid.
 */
export function invalidHeads(identity: string): readonly InvalidHead[] {
    const headers = `Connection: close\r\n${identity}`;
    const framings = { "with a length": "Content-Length: 4\r\n", "without a length": "" };
    return Object.entries(framings).flatMap(([framing, length]) => [
        ...Object.entries(statusLines).map(([title, line]) => {
            return { title: `${title}, ${framing}`, bytes: `${line}\r\n${headers}${length}\r\nbody` };
        }),
        ...Object.entries(headerLines).map(([title, line]) => {
            return {
                title: `${title}, ${framing}`,
                bytes: `HTTP/1.1 200 OK\r\n${line}\r\n${headers}${length}\r\nbody`,
            };
        }),
    ]);
}
