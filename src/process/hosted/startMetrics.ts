import type { MetricsServer } from "../../connection/metrics/metricsServer.js";
import type { EventLog } from "../../logEvent/eventLog.js";

/** Port on which hosted processes show their metrics; the deploy file names the same one. */
const metricsPort = 9464;

/** Starts to show metrics; a process whose port is taken serves without them. */
export async function startMetrics(server: MetricsServer, host: string, eventLog: EventLog): Promise<void> {
    try {
        await server.start(`${host}:${metricsPort}`);
    }
    catch (error) {
        eventLog.write("taskFailed", { task: "metrics", reason: String(error) });
    }
}
