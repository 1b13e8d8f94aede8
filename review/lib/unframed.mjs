/** Streams that have neither a length nor chunks and end with their channel, and what a consumer makes of them. */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { consume } from "./installation.mjs";

function eventOf(id, events) {
    return `id: ${id}\ndata: piece ${id} of ${events}\n\n`;
}

/** The whole body of a stream, as the server writes it. */
export function wholeBodyOf(events) {
    return Array.from({ length: events }, (_, index) => eventOf(index + 1, events)).join("");
}

/**
 * Answers with a stream without a length.
 *
 * @param resetAfter Number of events after which the channel is reset; undefined if the stream is whole.
 */
export async function serveStream(server, request, response, { events, eventInterval, resetAfter, record }) {
    const id = request.headers["gullhall-attempt-id"];
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, { ...server.answerHeaders(request), "Content-Type": "text/event-stream" });
    for (let event = 1; event <= events && !response.destroyed; event++) {
        response.write(eventOf(event, events));
        await sleep(eventInterval);
        if (event === resetAfter) {
            record.write(`${server.id} resets the channel of ${id} after ${event} of ${events} pieces`);
            request.socket.resetAndDestroy();
            return;
        }
    }
    record.write(`${server.id} ${response.destroyed ? "was cut off during" : "has written all of"} ${id}`);
    response.end();
}

/**
 * Asks for a stream as a consumer does.
 *
 * @returns How the answer breaks the rule MIXED; undefined if it does not. It looks complete if it has no length and its
 *     connection ended in order.
 */
export async function consumeStream(entry, { service, id, events, record }) {
    record.write(`the consumer sends ${id} to ${entry.name}`);
    const { status, headers, body, ending } = await consume(entry.callerAddress, {
        path: `/${service}/1`,
        id,
        deadline: 15_000,
        body: Buffer.from("prompt"),
    });
    const framing = headers["content-length"] ?? headers["transfer-encoding"] ?? "none";
    const pieces = body.toString().split("\n\n").length - 1;
    record.write(
        `the consumer got ${id}: status ${status}, framing ${framing}, ${pieces} of ${events} pieces, `
            + `proof ${headers["gullhall-response-signature"]}, connection ${ending}`,
    );
    const looksComplete = status === 200 && framing === "none" && ending === "ended in order";
    return looksComplete && body.toString() !== wholeBodyOf(events)
        ? `MIXED: ${id} looks complete with ${pieces} of ${events} pieces`
        : undefined;
}
