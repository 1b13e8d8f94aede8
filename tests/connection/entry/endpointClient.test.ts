import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { EndpointClient } from "../../../src/connection/entry/endpointClient.js";
import type { EndpointCallResult } from "../../../src/connection/entry/endpointClient.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";
import { EndlessEndpoint } from "../endlessEndpoint.js";
import { stalledBodyBytes, StalledEndpoint } from "../stalledEndpoint.js";

/** Creates an endpoint that counts the requests that it receives. */
function createEndpoint(store: DisposableStore): { readonly server: Server; readonly receivedRequests: () => number; } {
    const sockets = new Set<Socket>();
    let requests = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests++;
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    });
    store.defer(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return { server, receivedRequests: () => requests };
}

describe("EndpointClient", () => {
    for (const address of ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:x", "nowhere"]) {
        // Guards against requests that fail with an exception because of an address that the platform stated.
        it(`reports that nothing was sent to ${address}`, async t => {
            using client = new EndpointClient(address);
            const { signal } = new AbortController();
            const result = await client.send({ method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), signal });
            t.true(result.kind === "error" && !result.error.sent);
        });
    }

    // Guards against requests that are sent although their callers left while the connection was being established.
    it("sends nothing if the call is aborted in the turn in which its connection was established", async t => {
        await using store = new DisposableStore();
        const { server, receivedRequests } = createEndpoint(store);
        const client = store.add(new EndpointClient(await listen(server, "127.0.0.1:0")));
        const send = (signal: AbortSignal): Promise<EndpointCallResult> =>
            client.send({ method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), signal });
        const caller = new AbortController();
        const abortOnceConnected = (message: unknown): void => {
            void once((message as { readonly socket: Socket; }).socket, "connect").then(() => {
                caller.abort();
            });
        };
        subscribe("net.client.socket", abortOnceConnected);
        const aborted = await send(caller.signal);
        unsubscribe("net.client.socket", abortOnceConnected);
        t.like(aborted, { kind: "error", error: { sent: false } });
        t.is((await send(new AbortController().signal)).kind, "answer");
        t.is(receivedRequests(), 1);
    });

    // Guards against requests that engines receive after their callers left, because their bytes waited in a send buffer.
    it("withdraws what the endpoint has not received if the call is aborted", async t => {
        await using store = new DisposableStore();
        const endpoint = await StalledEndpoint.start(store);
        const client = store.add(new EndpointClient(endpoint.address));
        const caller = new AbortController();
        const result = client.send({
            method: "POST",
            path: "/",
            headers: {},
            body: Buffer.alloc(stalledBodyBytes),
            signal: caller.signal,
        });
        await endpoint.waitForStall();
        caller.abort();
        t.like(await result, { kind: "error", error: { sent: true } });
        t.true(await endpoint.readToEnd() < stalledBodyBytes);
    });

    // Guards against engines that hold calls with bytes that are no response.
    for (
        const [title, repeated] of [["empty lines", "\r\n"], [
            "interim responses",
            "HTTP/1.1 103 Hints\r\n\r\n",
        ]] as const
    ) {
        it(`fails if the endpoint sends ${title} without end before the headers`, async t => {
            await using store = new DisposableStore();
            const endpoint = await EndlessEndpoint.start(store, { beginning: "", repeated });
            const client = store.add(new EndpointClient(endpoint.address));
            const { signal } = new AbortController();
            const result = await client.send({ method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), signal });
            t.like(result, { kind: "error", error: { sent: true } });
            while (!endpoint.isAbandoned) {
                await new Promise(resolve => setTimeout(resolve, 20));
            }
        });
    }
});
