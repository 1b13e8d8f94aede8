import { randomInt } from "node:crypto";
import { createServer } from "node:net";
import type { Server } from "node:net";
import { listen } from "../util/socketAddress.js";

/** Lowest port that is tried. */
const minimumPort = 15_000;

/** Exclusive upper bound of the ports that are tried. The ephemeral ports of outgoing connections lie above it. */
const portUpperBound = 32_000;

/** Maximum number of ports that are tried for one address. */
const maximumAttemptsPerAddress = 100;

/**
 * Loopback host on which a process listens on each port that it has allocated, until it exits. Another process that
 * calls {@link allocateFreeAddresses} then fails to listen on the same port and tries another one.
 */
const reservationHost = "127.255.0.1";

/**
 * Allocates free loopback addresses for processes that must know each other's addresses before they start.
 *
 * The ports lie below the ephemeral port range, so that no outgoing connection takes one of them between this call and
 * the start of the process that listens on it.
 *
 * @returns Addresses in the form `127.0.0.1:PORT`. Rejects if too many ports are in use.
 */
export async function allocateFreeAddresses(count: number): Promise<readonly string[]> {
    const servers: Server[] = [];
    const addresses: string[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer();
        addresses.push(await listenOnRandomPort(server));
        servers.push(server);
    }
    await Promise.all(servers.map(server => close(server)));
    return addresses;
}

async function listenOnRandomPort(server: Server): Promise<string> {
    for (let attempt = 1;; attempt++) {
        try {
            const port = randomInt(minimumPort, portUpperBound);
            await listen(createServer().unref(), `${reservationHost}:${port}`);
            return await listen(server, `127.0.0.1:${port}`);
        }
        catch (error) {
            if (attempt === maximumAttemptsPerAddress) {
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
