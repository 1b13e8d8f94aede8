import type { IncomingMessage, ServerResponse } from "node:http";
import { buffer } from "node:stream/consumers";
import { defaultConnectionLimits } from "../../../src/connection/server/connectionLimits.js";
import type { ConnectionLimits } from "../../../src/connection/server/connectionLimits.js";
import { HttpListeners } from "../../../src/connection/server/httpListeners.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { ExpositionWriter } from "../../../src/process/metrics/expositionWriter.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";

/** A request as the handler got it. */
export interface HandledRequest {
    readonly target: string;
    readonly body: string;
    /** Number of header lines. */
    readonly lines: number;
}

/** A listener under test; by default it answers each request with its target when its body is complete. */
export class TestListener implements AsyncDisposable {
    readonly handled: HandledRequest[] = [];
    /** Largest number of requests that were under way at once on all connections. */
    mostUnderWay = 0;
    private underWay = 0;
    private readonly store = new DisposableStore();
    private readonly listeners: HttpListeners;

    private constructor(readonly limits: ConnectionLimits) {
        this.listeners = new HttpListeners(limits, new SystemClock(), new EventLog("test", "hidden"));
    }

    address = "";

    /** @param respond Answers a request whose body is complete. */
    static async start(
        limits: Partial<ConnectionLimits> = {},
        respond: (request: IncomingMessage, response: ServerResponse) => void = respondWithTarget,
    ): Promise<TestListener> {
        const test = new TestListener({ ...defaultConnectionLimits, ...limits });
        const { server } = test.listeners.create(
            { name: "test", server: { headersTimeout: 600, connectionsCheckingInterval: 50 } },
            (request, response) => {
                void test.handle(request, response, respond);
            },
        );
        test.store.defer(() => {
            server.close();
            server.closeAllConnections();
        });
        test.address = await listen(server, "127.0.0.1:0");
        return test;
    }

    /** The metrics of the listener. */
    get metrics(): string {
        const writer = new ExpositionWriter();
        this.listeners.write(writer);
        return writer.toString();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private async handle(
        request: IncomingMessage,
        response: ServerResponse,
        respond: (request: IncomingMessage, response: ServerResponse) => void,
    ): Promise<void> {
        this.underWay++;
        this.mostUnderWay = Math.max(this.mostUnderWay, this.underWay);
        response.once("close", () => {
            this.underWay--;
        });
        try {
            const body = (await buffer(request)).toString("latin1");
            this.handled.push({ target: request.url ?? "", body, lines: request.rawHeaders.length / 2 });
            respond(request, response);
        }
        catch {
            // The connection ended.
        }
    }
}

function respondWithTarget({ url }: IncomingMessage, response: ServerResponse): void {
    response.end(`answer to ${url ?? ""};`);
}
