import type { IncomingMessage, ServerResponse } from "node:http";
import { expositionContentType } from "../../process/metrics/expositionWriter.js";
import { failure } from "../../resultCode/resultCode.js";
import { listen } from "../../util/socketAddress.js";
import { sendFailure, sendJson } from "../httpResponse.js";
import type { HttpListeners } from "../server/httpListeners.js";

/** Contents of the pages of a {@link MetricsServer}. */
export interface MetricsPages {
    /** Returns the metrics in the text exposition format. */
    readonly exposition: () => string;
    /** Returns the state as an object that can be converted to JSON. */
    readonly state: () => object;
}

/** Serves the metrics of a process at `/metrics` and its state at `/v1/state`. */
export class MetricsServer implements Disposable {
    private readonly server;

    constructor(private readonly pages: MetricsPages, listeners: HttpListeners) {
        const listener = listeners.create({ name: "metrics" }, (request, response) => {
            request.resume();
            this.handleRequest(request, response);
        });
        this.server = listener.server;
    }

    /** Starts to listen; resolves with the bound address. */
    start(address: string): Promise<string> {
        return listen(this.server, address);
    }

    [Symbol.dispose](): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
        if (request.method !== "GET" || (path !== "/metrics" && path !== "/v1/state")) {
            sendFailure(response, failure("requestUnknown", { method: request.method ?? "?", path }));
            return;
        }
        if (path === "/v1/state") {
            sendJson(response, 200, this.pages.state());
            return;
        }
        response.writeHead(200, { "content-type": expositionContentType });
        response.end(this.pages.exposition());
    }
}
