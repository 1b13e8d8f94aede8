import { once } from "node:events";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { DisposableStore } from "../../src/util/disposableStore.js";
import { listen } from "../../src/util/socketAddress.js";

/** Size of a body of which a part stays in the sender's send buffer while the receiver does not read, in bytes. */
export const stalledBodyBytes = 1024 * 1024;

/** Time after which the part of a body that the operating system takes has been written, in milliseconds. */
const writeTime = 100;

/** An endpoint that accepts one connection and does not read from it until told to. */
export class StalledEndpoint {
    private readonly connection: Promise<Socket>;

    private constructor(readonly address: string, connection: Promise<unknown[]>) {
        this.connection = connection.then(([socket]) => socket as Socket);
    }

    static async start(store: DisposableStore): Promise<StalledEndpoint> {
        const server = createServer({ pauseOnConnect: true });
        const connection = once(server, "connection");
        const endpoint = new StalledEndpoint(await listen(server, "127.0.0.1:0"), connection);
        store.defer(async () => {
            server.close();
            (await endpoint.connection).destroy();
        });
        return endpoint;
    }

    /** Resolves when the sender has written what the operating system takes while this endpoint does not read. */
    async waitForStall(): Promise<void> {
        await this.connection;
        await new Promise(resolve => setTimeout(resolve, writeTime));
    }

    /** Reads until the connection has ended; returns the number of received bytes. */
    async readToEnd(): Promise<number> {
        const socket = await this.connection;
        let bytes = 0;
        socket.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
        });
        socket.on("error", () => undefined);
        socket.resume();
        // `once` of `node:events` would reject if the connection is reset.
        await new Promise(resolve => socket.once("close", resolve));
        return bytes;
    }
}
