import type { ResponseFault } from "../../src/connection/responseFault.js";
import type { ServerEnding } from "./rawServer.js";

/** A response that is incomplete or invalid in one way. */
export interface FaultyResponse {
    readonly fault: ResponseFault;
    readonly title: string;
    readonly bytes: string;
    readonly ending: ServerEnding;
}

/** @param identity Headers by which the response would be accepted if it were whole. */
export function faultyResponses(identity: string): readonly FaultyResponse[] {
    const head = `HTTP/1.1 200 OK\r\n${identity}`;
    const length = "Content-Length: 4\r\n";
    const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
    return [
        { fault: "reset", title: "without a length", bytes: `${head}\r\npart`, ending: "resetWithData" },
        { fault: "reset", title: "without bytes", bytes: "", ending: "resetWithData" },
        { fault: "endedEarly", title: "without bytes", bytes: "", ending: "end" },
        { fault: "endedEarly", title: "with a length", bytes: `${head}${length}\r\nbod`, ending: "end" },
        { fault: "endedEarly", title: "in chunks", bytes: `${chunked}4\r\nbody\r\n`, ending: "end" },
        {
            fault: "invalidStatus",
            title: "status 000",
            bytes: `HTTP/1.1 000 OK\r\n${identity}${length}\r\nbody`,
            ending: "end",
        },
        {
            fault: "invalidStatus",
            title: "no status",
            bytes: `HTTP/1.1 OK\r\n${identity}${length}\r\nbody`,
            ending: "end",
        },
        {
            fault: "invalidHeader",
            title: "a blank in a name",
            bytes: `${head}X Y: 1\r\n${length}\r\nbody`,
            ending: "end",
        },
        { fault: "invalidHeader", title: "NUL in a value", bytes: `${head}X: a\0\r\n${length}\r\nbody`, ending: "end" },
        { fault: "invalidFraming", title: "a malformed chunk", bytes: `${chunked}xyz\r\n`, ending: "end" },
        {
            fault: "invalidFraming",
            title: "a malformed length",
            bytes: `${head}Content-Length: x\r\n\r\n`,
            ending: "end",
        },
    ];
}
