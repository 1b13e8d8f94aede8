import type { ServerOptions } from "node:http";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { ExpositionWriter } from "../../process/metrics/expositionWriter.js";
import type { Clock } from "../../util/clock.js";
import type { ConnectionLimits } from "./connectionLimits.js";
import { HttpListener } from "./httpListener.js";
import type { HttpListenerOptions, RequestHandler } from "./httpListener.js";

/** Options of one listener of a process. */
export interface ListenerOptions extends Partial<Pick<HttpListenerOptions, "limits" | "onInvalidRequest">> {
    /** Name in logs and metrics. */
    readonly name: string;
    /** Maximum size of a body that is kept in memory, in bytes; 0 if bodies are not read. */
    readonly maximumBodyBytes?: () => number;
    readonly server?: ServerOptions;
}

/** The HTTP listeners of a process. */
export class HttpListeners {
    private readonly listeners: HttpListener[] = [];

    /** @param limits Limits of each listener that has none of its own. */
    constructor(
        private readonly limits: ConnectionLimits,
        private readonly clock: Clock,
        private readonly eventLog: EventLog,
    ) {}

    /** Creates a listener; its server has not been started. */
    create(options: ListenerOptions, handle: RequestHandler): HttpListener {
        const { clock, eventLog, limits } = this;
        const listener = new HttpListener(
            { limits, clock, eventLog, maximumBodyBytes: () => 0, ...options },
            handle,
        );
        this.listeners.push(listener);
        return listener;
    }

    /** Writes the metrics of all listeners. */
    write(writer: ExpositionWriter): void {
        HttpListener.declareMetrics(writer);
        this.listeners.forEach(listener => {
            listener.write(writer);
        });
    }
}
