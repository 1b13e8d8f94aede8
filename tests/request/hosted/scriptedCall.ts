import { createServer } from "node:net";
import type { Socket } from "node:net";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { formatRequest } from "../../connection/leavingCaller.js";
import { sendRaw } from "../../connection/rawCaller.js";
import type { RawResponse } from "../../connection/rawCaller.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

/** Time after which a connection counts as kept, in milliseconds. */
const longestCall = 700;

function routeOf(name: string, kind: string, attempts: number, resumable: boolean): object {
    return {
        name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 3_000,
        "service": "desk",
        attempts,
        resumable,
    };
}

const document = documentOf(3, {
    routes: [
        routeOf("look-ups", "safe", 2, false),
        routeOf("bookings", "unsafe", 1, false),
        routeOf("drafts", "streaming", 1, false),
        routeOf("summaries", "streaming", 2, true),
    ],
    limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_000_000,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
});

const proof = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";
/** Head of a success that is delimited by the end of its connection. */
export const unframedHead = `HTTP/1.1 200 OK\r\n${proof}Connection: close\r\n\r\n`;
/** Head of a success that is sent in chunks. */
export const chunkedHead = `HTTP/1.1 200 OK\r\n${proof}Transfer-Encoding: chunked\r\n\r\n`;

/** A chunk of a body (RFC 9112, section 7.1). */
export function chunkOf(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** A success with a length. */
export function withLength(body: string): string {
    return `HTTP/1.1 200 OK\r\n${proof}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** What an endpoint sends, and how it ends its connection then. */
export interface EndpointScript {
    readonly bytes: string;
    /** `resetWithData`: by a reset that arrives together with the bytes. */
    readonly ending: "end" | "reset" | "resetWithData";
}

/** What the caller received, and what reached endpoints. */
export interface ScriptedResponse extends RawResponse {
    /** Requests that reached endpoints. */
    readonly requests: readonly string[];
}

/** Version of HTTP that a caller speaks. */
export type HttpVersion = "1.1" | "1.0";

/** First events of a stream. */
export const firstEvent = "id: 1\ndata: a\n\n";
export const secondEvent = "id: 2\ndata: b\n\n";

function finish(socket: Socket, ending: EndpointScript["ending"]): void {
    if (ending === "end") {
        socket.end();
        return;
    }
    if (ending === "resetWithData") {
        socket.resetAndDestroy();
        return;
    }
    // What was written before must arrive before the reset.
    setTimeout(() => {
        socket.resetAndDestroy();
    }, 50);
}

/**
 * Makes one call at an entry whose endpoints follow the scripts, in the order in which calls reach them.
 *
 * @param longestMilliseconds Time after which a connection counts as kept; it is closed earlier with HTTP/1.0.
 */
export async function makeCall(
    path: string,
    scripts: readonly EndpointScript[],
    version: HttpVersion = "1.1",
    method = "POST",
    longestMilliseconds = longestCall,
    body = "",
): Promise<ScriptedResponse> {
    await using store = new DisposableStore();
    const requests: string[] = [];
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", bytes => {
            const script = scripts[requests.length];
            requests.push(bytes.toString());
            socket.write(script?.bytes ?? "", "latin1");
            finish(socket, script?.ending ?? "reset");
        });
    });
    store.defer(() => {
        server.close();
    });
    const address = await listen(server, "127.0.0.1:0");
    const records = Array.from(
        scripts.keys(),
        index => createEndpointRecord(`e${index}`, { service: "desk", address }),
    );
    const entry = store.add(await CallServer.start(document, records));
    entry.givePermit();
    const headers = {
        "host": "calls.example",
        "api-key": "key-1",
        "gullhall-attempt-id": "call-1",
        "gullhall-deadline-remaining": "3000",
    };
    const request = formatRequest(method, path, headers, body).replace("HTTP/1.1", `HTTP/${version}`);
    return { ...await sendRaw(entry.callerAddress, request, longestMilliseconds), requests };
}
