import type { HttpListeners } from "../../connection/server/httpListeners.js";
import type { EventLoopDelayMonitor } from "../metrics/eventLoopDelayMonitor.js";
import { ExpositionWriter } from "../metrics/expositionWriter.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntryStateReport, PoolReport } from "./entryStateReport.js";

/** Formats the metrics of an entry in the Prometheus text exposition format. */
export function formatEntryExposition(
    report: EntryStateReport,
    metrics: EntryMetrics,
    eventLoopDelay: EventLoopDelayMonitor,
    listeners: HttpListeners,
): string {
    const writer = new ExpositionWriter();
    writer.family("gullhall_entry_version", "gauge", "Version of the configuration in force.");
    writer.family("gullhall_entry_serves", "gauge", "1 while the permit to serve holds.");
    writer.family("gullhall_entry_draining", "gauge", "1 while the entry stops.");
    writer.family("gullhall_pool_running_requests", "gauge", "Requests of this entry that run.");
    writer.family("gullhall_pool_waiting_requests", "gauge", "Requests that wait for an endpoint.");
    writer.family("gullhall_pool_endpoints", "gauge", "Endpoints by whether they take new work.");
    writer.sample("gullhall_entry_version", {}, report.version);
    writer.sample("gullhall_entry_serves", {}, report.serves ? 1 : 0);
    writer.sample("gullhall_entry_draining", {}, report.draining ? 1 : 0);
    report.pools.forEach(pool => {
        writePool(writer, pool);
    });
    metrics.write(writer);
    eventLoopDelay.write(writer);
    listeners.write(writer);
    return writer.toString();
}

function writePool(writer: ExpositionWriter, { pool, running, waiting, endpoints }: PoolReport): void {
    writer.sample("gullhall_pool_running_requests", { pool }, running);
    writer.sample("gullhall_pool_waiting_requests", { pool }, waiting);
    for (const condition of ["sound", "trial", "setAside", "leaving"] as const) {
        const count = endpoints.filter(endpoint => endpoint.condition === condition).length;
        writer.sample("gullhall_pool_endpoints", { pool, state: condition }, count);
    }
}
