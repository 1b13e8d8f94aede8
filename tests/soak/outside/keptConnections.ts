import { Agent } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { splitAddress } from "../../../src/util/socketAddress.js";

/** Number of connections to an entry that are opened ahead and not used yet. */
const unusedCount = 24;

/** Keeps connections to one entry open, used and unused ones, until the entry closes them. */
export class KeptConnections extends Agent {
    private readonly unused = new Set<Socket>();

    constructor(private readonly address: string) {
        super({ keepAlive: true });
    }

    /** Whether a connection is open that no call uses. */
    get isOpen(): boolean {
        return this.unused.size > 0 || Object.keys(this.freeSockets).length > 0;
    }

    /** Opens connections that the next calls use if all used ones are busy or closed. */
    openAhead(): void {
        for (let count = this.unused.size; count < unusedCount; count++) {
            const socket = connect(splitAddress(this.address));
            socket.once("connect", () => this.unused.add(socket));
            socket.once("close", () => this.unused.delete(socket));
            socket.on("error", () => undefined);
            socket.once("data", closeOnUnexpectedData);
        }
    }

    override createConnection(...parameters: Parameters<Agent["createConnection"]>): Duplex | null | undefined {
        const [socket] = this.unused;
        if (socket === undefined) {
            return super.createConnection(...parameters);
        }
        this.unused.delete(socket);
        socket.removeListener("data", closeOnUnexpectedData);
        return socket;
    }

    override destroy(): void {
        this.unused.forEach(socket => socket.destroy());
        super.destroy();
    }
}

/** Closes a connection on which an entry answers although nothing was asked, as it does before it closes one. */
function closeOnUnexpectedData(this: Socket): void {
    this.destroy();
}
