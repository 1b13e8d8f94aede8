import { Agent } from "node:http";
import type { NetConnectOpts, Socket } from "node:net";
import { connectClient } from "./clientSocket.js";

/** Connection pool whose connections can tell a reset from an orderly end. */
export class ClientAgent extends Agent {
    /** Called by `node:http`. */
    override createConnection(options: NetConnectOpts): Socket {
        return connectClient(options);
    }
}
