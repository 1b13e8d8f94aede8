import type { Milliseconds } from "../util/clock.js";
import { hasPort, splitAddress } from "../util/socketAddress.js";
import { connectClient } from "./clientSocket.js";
import type { OpenConnection } from "./hosted/endpointAgent.js";

/** What an attempt to connect tells about an address; `unreachable`: neither accepted nor refused in time. */
export type ListenerState = "listening" | "refused" | "unreachable";

/** Tells whether a process listens at an address. */
export function probeListener(
    address: string,
    timeout: Milliseconds,
    openConnection: OpenConnection = connectClient,
): Promise<ListenerState> {
    if (!hasPort(address)) {
        return Promise.resolve("unreachable");
    }
    return new Promise(resolve => {
        const socket = openConnection(splitAddress(address));
        const finish = (state: ListenerState): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(state);
        };
        const timer = setTimeout(finish, timeout, "unreachable");
        socket.once("connect", () => {
            finish("listening");
        });
        socket.once("error", (error: NodeJS.ErrnoException) => {
            finish(error.code === "ECONNREFUSED" ? "refused" : "unreachable");
        });
    });
}
