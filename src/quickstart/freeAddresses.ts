import { randomInt } from "node:crypto";
import { createServer } from "node:net";
import type { Server } from "node:net";
import { listen } from "../util/socketAddress.js";

/** First port that is tried. */
const lowestPort = 15_000;

/** First port above those that are tried; the system gives outgoing connections ports above it. */
const portLimit = 32_000;

/** Ports that are tried for one address before it is given up. */
const maximumAttempts = 100;

/** Where a process listens on the ports that it has taken for as long as it runs, so that no other process takes them. */
const reservationHost = "127.255.0.1";

/**
 * Takes free loopback addresses, for processes that must know each other's addresses before they start.
 *
 * The ports lie below those that the system itself hands out, so that no outgoing connection takes one of them between
 * this call and the start of the process that listens there.
 */
export async function freeAddresses(count: number): Promise<readonly string[]> {
    const servers: Server[] = [];
    const addresses: string[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer();
        addresses.push(await listenSomewhere(server));
        servers.push(server);
    }
    await Promise.all(servers.map(server => close(server)));
    return addresses;
}

async function listenSomewhere(server: Server): Promise<string> {
    for (let attempt = 1;; attempt++) {
        try {
            const port = randomInt(lowestPort, portLimit);
            await listen(createServer().unref(), `${reservationHost}:${port}`);
            return await listen(server, `127.0.0.1:${port}`);
        }
        catch (error) {
            if (attempt === maximumAttempts) {
                throw error;
            }
        }
    }
}

function close(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => {
            resolve();
        });
    });
}
