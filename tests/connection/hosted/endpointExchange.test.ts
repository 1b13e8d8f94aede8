import { EventEmitter, once } from "node:events";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import { EndpointAgent } from "../../../src/connection/hosted/endpointAgent.js";
import { EndpointExchange } from "../../../src/connection/hosted/endpointExchange.js";
import type { ExchangeHead } from "../../../src/connection/hosted/endpointExchange.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";
import { stalledBodyBytes, StalledEndpoint } from "../stalledEndpoint.js";

/** Starts an endpoint that handles each request with a function; returns its address. */
async function startEndpoint(store: DisposableStore, respond: (socket: Socket) => void): Promise<string> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            respond(socket);
        });
    });
    store.defer(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return listen(server, "127.0.0.1:0");
}

function createExchange(store: DisposableStore, address: string, agent = new EndpointAgent()): EndpointExchange {
    store.defer(() => {
        agent.destroy();
    });
    const headers = ["Host", "calls.example", "Connection", "keep-alive"];
    return new EndpointExchange({ agent, address, method: "GET", target: "/", headers, body: undefined });
}

async function readBody(head: ExchangeHead): Promise<string | undefined> {
    if (head.kind !== "response") {
        return undefined;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of head.message as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}

describe("EndpointExchange", () => {
    it("reports a response without a length as complete if its connection ends normally", async t => {
        await using store = new DisposableStore();
        const address = await startEndpoint(store, socket => {
            socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
        });
        const exchange = createExchange(store, address);
        const head = await exchange.head();
        t.is(await readBody(head), "whole");
        t.true(head.kind === "response" && exchange.isComplete(head.message));
    });

    it("reports a response without a length as incomplete if its connection is reset", async t => {
        await using store = new DisposableStore();
        const address = await startEndpoint(store, socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => {
                setTimeout(() => {
                    socket.resetAndDestroy();
                }, 50);
            });
        });
        const exchange = createExchange(store, address);
        const head = await exchange.head();
        await readBody(head).catch(() => undefined);
        t.true(head.kind === "response" && !exchange.isComplete(head.message));
    });

    it("reports that nothing was sent if no connection could be opened", async t => {
        await using store = new DisposableStore();
        const head = await createExchange(store, "127.0.0.1:1").head();
        t.is(head.kind, "notSent");
    });

    // Guards against calls that are sent although their callers left while the connection was being established.
    it("sends nothing if it is cancelled in the turn in which its connection was established", async t => {
        await using store = new DisposableStore();
        let requests = 0;
        const address = await startEndpoint(store, socket => {
            requests++;
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
        const agent = new EndpointAgent();
        const cancelled = createExchange(store, address, agent);
        const head = cancelled.head();
        const [socket] = Object.values(agent.sockets).flat();
        await once(socket ?? new EventEmitter(), "connect");
        cancelled.cancel("the caller disconnected");
        t.is((await head).kind, "notSent");
        t.is(await readBody(await createExchange(store, address, agent).head()), "ok");
        t.is(requests, 1);
    });

    // Guards against calls that endpoints receive after their callers left, because their bytes waited in a send buffer.
    it("withdraws what the endpoint has not received if it is cancelled", async t => {
        await using store = new DisposableStore();
        const endpoint = await StalledEndpoint.start(store);
        const agent = new EndpointAgent();
        store.defer(() => {
            agent.destroy();
        });
        const exchange = new EndpointExchange({
            agent,
            address: endpoint.address,
            method: "POST",
            target: "/",
            headers: ["Host", "calls.example"],
            body: Buffer.alloc(stalledBodyBytes),
        });
        const head = exchange.head();
        await endpoint.waitForStall();
        exchange.cancel("the caller disconnected");
        t.deepEqual(await head, { kind: "lost", reason: "the caller disconnected" });
        t.true(await endpoint.readToEnd() < stalledBodyBytes);
    });

    // Guards against a late cancellation that resets the connection of the next call.
    it("does not affect the next call on its connection if it is cancelled after its response", async t => {
        await using store = new DisposableStore();
        let requests = 0;
        const address = await startEndpoint(store, socket => {
            setTimeout(() => {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }, 50 * requests++);
        });
        const agent = new EndpointAgent();
        const first = createExchange(store, address, agent);
        t.is(await readBody(await first.head()), "ok");
        await new Promise(resolve => setTimeout(resolve, 20));
        const second = createExchange(store, address, agent);
        const head = second.head();
        await new Promise(resolve => setTimeout(resolve, 20));
        first.cancel("the caller disconnected");
        t.is(await readBody(await head), "ok");
        t.false(second.isNewConnection);
    });

    it("reports that the call may have run if its connection ends without a response", async t => {
        await using store = new DisposableStore();
        const address = await startEndpoint(store, socket => {
            socket.destroy();
        });
        const head = await createExchange(store, address).head();
        t.is(head.kind, "lost");
    });

    it("does not reuse an idle connection on which unexpected data arrived", async t => {
        await using store = new DisposableStore();
        const responseText = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        const address = await startEndpoint(store, socket => {
            socket.write(responseText);
            setTimeout(() => {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            }, 20);
        });
        const agent = new EndpointAgent();
        t.is(await readBody(await createExchange(store, address, agent).head()), "ok");
        await new Promise(resolve => setTimeout(resolve, 100));
        const second = createExchange(store, address, agent);
        t.is(await readBody(await second.head()), "ok");
        t.true(second.isNewConnection);
    });
});
