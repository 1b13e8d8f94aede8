import { createServer } from "node:net";
import type { Socket } from "node:net";
import { EndpointAgent } from "../../../src/connection/hosted/endpointAgent.js";
import { EndpointExchange } from "../../../src/connection/hosted/endpointExchange.js";
import type { ExchangeHead } from "../../../src/connection/hosted/endpointExchange.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";

/** Starts an endpoint that answers each request by the given function; gives its address. */
async function startEndpoint(store: DisposableStore, answer: (socket: Socket) => void): Promise<string> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            answer(socket);
        });
    });
    store.defer(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return listen(server, "127.0.0.1:0");
}

function exchangeWith(store: DisposableStore, address: string, agent = new EndpointAgent()): EndpointExchange {
    store.defer(() => {
        agent.destroy();
    });
    const headers = ["Host", "calls.example", "Connection", "keep-alive"];
    return new EndpointExchange({ agent, address, method: "GET", target: "/", headers, body: undefined });
}

async function bodyOf(head: ExchangeHead): Promise<string | undefined> {
    if (head.kind !== "answer") {
        return undefined;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of head.message as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}

describe("exchange with an endpoint", () => {
    it("takes an answer without a length for whole when its connection ends in order", async t => {
        await using store = new DisposableStore();
        const address = await startEndpoint(store, socket => {
            socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
        });
        const exchange = exchangeWith(store, address);
        const head = await exchange.head();
        t.is(await bodyOf(head), "whole");
        t.true(head.kind === "answer" && exchange.isWhole(head.message));
    });

    it("does not take an answer without a length for whole when its connection is reset", async t => {
        await using store = new DisposableStore();
        const address = await startEndpoint(store, socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => {
                setTimeout(() => {
                    socket.resetAndDestroy();
                }, 50);
            });
        });
        const exchange = exchangeWith(store, address);
        const head = await exchange.head();
        await bodyOf(head).catch(() => undefined);
        t.true(head.kind === "answer" && !exchange.isWhole(head.message));
    });

    it("says that nothing was sent where no connection could be made", async t => {
        await using store = new DisposableStore();
        const head = await exchangeWith(store, "127.0.0.1:1").head();
        t.is(head.kind, "notSent");
    });

    it("says that a call may have run when its connection ends without an answer", async t => {
        await using store = new DisposableStore();
        const address = await startEndpoint(store, socket => {
            socket.destroy();
        });
        const head = await exchangeWith(store, address).head();
        t.is(head.kind, "lost");
    });

    it("does not use a connection again on which bytes came that belong to no call", async t => {
        await using store = new DisposableStore();
        const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        const address = await startEndpoint(store, socket => {
            socket.write(answer);
            setTimeout(() => {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            }, 20);
        });
        const agent = new EndpointAgent();
        t.is(await bodyOf(await exchangeWith(store, address, agent).head()), "ok");
        await new Promise(resolve => setTimeout(resolve, 100));
        const second = exchangeWith(store, address, agent);
        t.is(await bodyOf(await second.head()), "ok");
        t.true(second.isNewConnection);
    });
});
