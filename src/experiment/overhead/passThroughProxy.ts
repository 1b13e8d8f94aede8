import { Agent, createServer, request as httpRequest } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listen, splitAddress } from "../../util/socketAddress.js";
import type { HostAndPort } from "../../util/socketAddress.js";

/** A proxy that only forwards requests and responses: the minimum work of any router built on Node's `http` module. */
export class PassThroughProxy implements Disposable {
    private readonly agent = new Agent({ keepAlive: true });
    private readonly targets: readonly HostAndPort[];
    private readonly server: Server;
    private requestCount = 0;

    /** @param targets Addresses that receive the requests in round-robin order. */
    constructor(targets: readonly string[]) {
        this.targets = targets.map(splitAddress);
        this.server = createServer({ keepAliveTimeout: 0 }, (request, response) => {
            this.forward(request, response);
        });
    }

    /** Starts to listen on a free loopback port; resolves with the address. */
    start(): Promise<string> {
        return listen(this.server, "127.0.0.1:0");
    }

    /** Closes all connections. */
    [Symbol.dispose](): void {
        this.server.close();
        this.server.closeAllConnections();
        this.agent.destroy();
    }

    private forward(request: IncomingMessage, response: ServerResponse): void {
        const target = this.targets[this.requestCount++ % this.targets.length];
        const { method, url: path, headers } = request;
        const upstreamRequest = httpRequest(
            { ...target, agent: this.agent, method, path, headers },
            upstreamResponse => {
                response.writeHead(upstreamResponse.statusCode ?? 502, upstreamResponse.headers);
                upstreamResponse.pipe(response);
            },
        );
        upstreamRequest.on("error", () => {
            response.destroy();
        });
        response.on("close", () => {
            upstreamRequest.destroy();
        });
        request.pipe(upstreamRequest);
    }
}
