import { Agent, createServer, request as httpRequest } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listen, splitAddress } from "../../util/socketAddress.js";
import type { HostAndPort } from "../../util/socketAddress.js";

/** A proxy that does nothing but pass requests and answers on: the least that any router on Node's `http` must do. */
export class PassThroughProxy implements Disposable {
    private readonly agent = new Agent({ keepAlive: true });
    private readonly targets: readonly HostAndPort[];
    private readonly server: Server;
    private next = 0;

    /** @param targets Addresses that take requests in turn. */
    constructor(targets: readonly string[]) {
        this.targets = targets.map(splitAddress);
        this.server = createServer({ keepAliveTimeout: 0 }, (request, response) => {
            this.pass(request, response);
        });
    }

    /** Listens on a free loopback port; returns the address. */
    start(): Promise<string> {
        return listen(this.server, "127.0.0.1:0");
    }

    /** Closes all connections. */
    [Symbol.dispose](): void {
        this.server.close();
        this.server.closeAllConnections();
        this.agent.destroy();
    }

    private pass(request: IncomingMessage, response: ServerResponse): void {
        const target = this.targets[this.next++ % this.targets.length];
        const { method, url: path, headers } = request;
        const outgoing = httpRequest({ ...target, agent: this.agent, method, path, headers }, answer => {
            response.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(response);
        });
        outgoing.on("error", () => {
            response.destroy();
        });
        response.on("close", () => {
            outgoing.destroy();
        });
        request.pipe(outgoing);
    }
}
