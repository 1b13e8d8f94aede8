import { connect, createServer } from "node:net";
import type { NetConnectOpts, Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { ClientSocket, connectClient } from "../../../src/connection/clientSocket.js";
import { boundAddress, listen, splitAddress } from "../../../src/util/socketAddress.js";

/**
 * How an entry is cut off from all endpoints: new connections hang and old ones fall silent, new ones are refused and
 * old ones reset, or new ones are refused and old ones live on.
 */
export const cuts = ["silent", "reset", "refused"] as const;

/** One of {@link cuts}. */
export type Cut = typeof cuts[number];

/** An address on which nothing listens: port 1 (tcpmux) of a loopback address that no test uses. */
const refusingAddress = { host: "127.0.0.254", port: 1 };

/** The links of one entry to all endpoints, which pass through proxies and can be cut. */
export class CuttableNetwork implements AsyncDisposable {
    /** By the address of their endpoint. */
    private readonly proxies = new Map<string, Server>();
    private readonly pairs = new Set<readonly [Socket, Socket]>();
    private readonly hanging = new Set<Socket>();
    private cut: Cut | undefined;

    /** Number of bytes that reached endpoints. */
    sentBytes = 0;

    /** Opens a connection to an endpoint. */
    readonly open = (options: NetConnectOpts): ClientSocket => {
        if (this.cut === "silent") {
            const socket = new ClientSocket();
            this.hanging.add(socket);
            return socket;
        }
        if (this.cut !== undefined) {
            return connectClient(refusingAddress);
        }
        const { host = "", port = 0 } = options as { readonly host?: string; readonly port?: number; };
        const proxy = this.proxies.get(`${host}:${port}`);
        return connectClient(proxy === undefined ? refusingAddress : splitAddress(boundAddress(proxy)));
    };

    /** Starts proxies to endpoints; connections to others are refused. */
    async addEndpoints(addresses: readonly string[]): Promise<void> {
        for (const address of addresses) {
            this.proxies.set(address, await this.startProxy(address));
        }
    }

    /** Cuts the entry off from all endpoints. */
    cutOff(cut: Cut): void {
        this.cut = cut;
        for (const pair of this.pairs) {
            for (const socket of cut === "refused" ? [] : pair) {
                if (cut === "reset") {
                    socket.resetAndDestroy();
                }
                else {
                    socket.unpipe();
                    socket.pause();
                }
            }
        }
    }

    /** Ends the cut; connections that fell silent are lost. */
    heal(): void {
        if (this.cut === "silent") {
            this.pairs.forEach(pair => {
                pair.forEach(socket => socket.resetAndDestroy());
            });
        }
        this.cut = undefined;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.pairs.forEach(pair => {
            pair.forEach(socket => socket.destroy());
        });
        this.hanging.forEach(socket => socket.destroy());
        this.proxies.forEach(proxy => proxy.close());
        await sleep(0);
    }

    private async startProxy(address: string): Promise<Server> {
        const proxy = createServer({ noDelay: true }, inner => {
            const outer = connect({ ...splitAddress(address), noDelay: true });
            const pair = [inner, outer] as const;
            this.pairs.add(pair);
            inner.on("data", (bytes: Buffer) => this.sentBytes += bytes.length);
            for (const [socket, other] of [[inner, outer], [outer, inner]] as const) {
                socket.on("error", () => undefined);
                socket.once("close", hadError => {
                    this.pairs.delete(pair);
                    if (hadError) {
                        other.resetAndDestroy();
                    }
                    else {
                        other.end();
                    }
                });
                socket.pipe(other);
            }
        });
        await listen(proxy, "127.0.0.1:0");
        return proxy;
    }
}
