import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import type { EndpointRecord } from "../../../src/process/hosted/endpointRecord.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

const route = {
    "name": "look-ups",
    "host": "calls.example",
    "path-prefix": "/look-ups/",
    "kind": "safe",
    "timeout-ms": 4_000,
    "service": "desk",
    "attempts": 2,
};

/** An entry with endpoints e0, e1 and so on, which state something about themselves in their responses. */
export class StatedEndpoints implements AsyncDisposable {
    /** Ids of the endpoints that calls reached, in order. */
    readonly received: string[] = [];
    private readonly store = new DisposableStore();
    private server: CallServer | undefined;
    private records: readonly EndpointRecord[] = [];

    /** @param respond Responds to a call at an endpoint; the headers of a proper response are set. */
    static async start(
        count: number,
        respond: (response: ServerResponse, endpoint: string) => void,
    ): Promise<StatedEndpoints> {
        const endpoints = new StatedEndpoints();
        const endpointServer = createServer((request, response) => {
            request.resume();
            request.once("end", () => {
                const id = String(request.headers["gullhall-target-instance"]);
                endpoints.received.push(id);
                response.setHeader("gullhall-attempt-id", String(request.headers["gullhall-attempt-id"]));
                response.setHeader("gullhall-response-signature", "proof");
                respond(response, id);
            });
        });
        endpoints.store.defer(() => {
            endpointServer.close();
            endpointServer.closeAllConnections();
        });
        const address = await listen(endpointServer, "127.0.0.1:0");
        endpoints.records = Array.from(
            Array(count).keys(),
            index => createEndpointRecord(`e${index}`, { service: "desk", address }),
        );
        endpoints.server = endpoints.store.add(await endpoints.startEntry());
        return endpoints;
    }

    /** Starts a further entry with the same endpoints. */
    async startEntry(): Promise<CallServer> {
        const entry = await CallServer.start(documentOf(3, { routes: [route] }), this.records);
        entry.givePermit();
        return entry;
    }

    /** The entry. */
    get entry(): CallServer {
        if (this.server === undefined) {
            throw new Error("not started");
        }
        return this.server;
    }

    async call(entry = this.entry): Promise<HttpCallResponse> {
        const result = await httpCall({
            address: entry.callerAddress,
            method: "POST",
            path: "/look-ups/a",
            headers: { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" },
            body: "",
            timeout: 5_000,
        });
        return result.unwrap();
    }

    /** Makes calls until each endpoint got one, at most a hundred. */
    async callUntilAllReached(count: number): Promise<void> {
        for (let call = 0; call < 100 && new Set(this.received).size < count; call++) {
            await Promise.all([this.call(), this.call()]);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}
