import { EndpointMonitor } from "./endpointMonitor.js";
import type { EndpointMonitorContext } from "./endpointMonitor.js";
import type { EndpointState } from "./endpointState.js";

interface Running {
    readonly stop: AbortController;
    readonly ended: Promise<void>;
}

/** The monitors of all endpoints, one task for each. */
export class EndpointMonitors implements AsyncDisposable {
    private readonly running = new Map<EndpointState, Running>();
    private stopped = false;

    /** Number of endpoints that are monitored. */
    get size(): number {
        return this.running.size;
    }

    /** Monitors exactly the given endpoints of a pool from now on. */
    follow(pool: string, endpoints: readonly EndpointState[], context: EndpointMonitorContext): void {
        const wanted = new Set(endpoints);
        for (const [endpoint, { stop }] of this.running) {
            if (endpoint.pool === pool && !wanted.has(endpoint)) {
                stop.abort();
                this.running.delete(endpoint);
            }
        }
        for (const endpoint of endpoints) {
            if (!this.running.has(endpoint) && !this.stopped) {
                const stop = new AbortController();
                this.running.set(endpoint, { stop, ended: new EndpointMonitor(endpoint, context).run(stop.signal) });
            }
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        const tasks = [...this.running.values()];
        this.running.clear();
        tasks.forEach(({ stop }) => {
            stop.abort();
        });
        await Promise.all(tasks.map(({ ended }) => ended));
    }
}
