import type { MetricsServer } from "../../connection/metrics/metricsServer.js";
import type { EventLog } from "../../logEvent/eventLog.js";

/** Port of the metrics server of hosted processes; the deploy file states the same port. */
const metricsPort = 9464;

/** Starts the metrics server; if that fails, logs the reason, and the process runs without metrics. */
export async function startMetrics(server: MetricsServer, host: string, eventLog: EventLog): Promise<void> {
    try {
        await server.start(`${host}:${metricsPort}`);
    }
    catch (error) {
        eventLog.write("taskFailed", { task: "metrics", reason: String(error) });
    }
}
