import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { bodyOf, looksComplete } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Payload of an event, shorter than what a response buffers without waiting for its reader. */
const payload = "x".repeat(8 * 1024);

/** Time after the start of a shutdown at which the entry has closed its idle connections, in milliseconds. */
const idleClosingTime = 3_200;

const document = documentOf(3, {
    routes: [{
        "name": "drafts",
        "host": "calls.example",
        "path-prefix": "/drafts/",
        "kind": "streaming",
        "timeout-ms": 20_000,
        "service": "desk",
    }],
});

describe("entry that shuts down while a caller reads slowly", () => {
    for (const [index, version] of ["1.1", "1.0"].entries()) {
        // Guards against a stream whose end waits in the entry for its caller, and is dropped with the connection.
        itSerially(`sends the end of a stream that is complete (HTTP/${version})`, async t => {
            let sentEvents = 0;
            let isBuffering = (): boolean => false;
            const sendEvents = async (response: ServerResponse): Promise<void> => {
                while (!isBuffering() && !response.destroyed) {
                    response.write(`id: ${++sentEvents}\ndata: ${payload}\n\n`);
                    await sleep(2);
                }
                response.end();
            };
            await using installation = await HostedInstallation.start(195 + index, ({ headers }, response) => {
                response.setHeader("content-type", "text/event-stream");
                response.setHeader("gullhall-attempt-id", String(headers["gullhall-attempt-id"]));
                response.setHeader("gullhall-response-signature", "proof");
                void sendEvents(response);
            });
            installation.shutdownTime = 8_000;
            const address = await installation.startFurtherEntry(101);
            await installation.submitUntilAccepted(document);
            while ((await installation.call("/nowhere/", {}, "", address)).status !== 404) {
                await sleep(50);
            }
            isBuffering = () => installation.unsentBytes(101) > 0;
            const socket = await openConnection(address);
            socket.pause();
            const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" };
            socket.write(formatRequest("POST", "/drafts/a", headers).replace("HTTP/1.1", `HTTP/${version}`));
            while (!isBuffering()) {
                await sleep(20);
            }
            await sleep(200);
            const stopped = installation.stopEntry(101);
            await sleep(idleClosingTime);
            let received = "";
            let ending: "end" | "reset" = "end";
            socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
            socket.once("error", () => ending = "reset");
            socket.resume();
            await once(socket, "close");
            await stopped;
            const [head = "", ...rest] = received.split("\r\n\r\n");
            const response = { head, framedBody: rest.join("\r\n\r\n"), ending };
            const events = looksComplete(response) ? bodyOf(response).match(/^id: \d+$/gm)?.length : "incomplete";
            t.is(events, sentEvents);
        });
    }
});
