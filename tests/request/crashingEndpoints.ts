import { createServer } from "node:http";
import type { Server } from "node:http";
import type { DisposableStore } from "../../src/util/disposableStore.js";
import { boundAddress, listen } from "../../src/util/socketAddress.js";

/** Time after which an endpoint that crashed is back, in milliseconds. */
const restartTime = 50;

/** Starts endpoints that crash when they receive a request to run, and are back shortly after; returns their addresses. */
export async function startCrashingEndpoints(
    store: DisposableStore,
    count: number,
    onRequest: () => void,
): Promise<readonly string[]> {
    const addresses: string[] = [];
    let isDisposed = false;
    const servers = new Map<number, Server>();
    const start = async (index: number, address: string): Promise<void> => {
        const server = createServer((request, response) => {
            request.resume();
            if (request.method !== "POST") {
                response.end("{}");
                return;
            }
            onRequest();
            server.close();
            server.closeAllConnections();
            setTimeout(() => {
                if (!isDisposed) {
                    void start(index, addresses[index] ?? "");
                }
            }, restartTime);
        });
        servers.set(index, server);
        await listen(server, address);
        addresses[index] = boundAddress(server);
    };
    store.defer(() => {
        isDisposed = true;
        servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    });
    for (let index = 0; index < count; index++) {
        await start(index, "127.0.0.1:0");
    }
    return addresses;
}
