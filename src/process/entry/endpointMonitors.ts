import { EndpointMonitor } from "./endpointMonitor.js";
import type { EndpointMonitorContext } from "./endpointMonitor.js";
import type { EndpointState } from "./endpointState.js";

interface MonitorTask {
    readonly controller: AbortController;
    readonly ended: Promise<void>;
}

/** Runs one {@link EndpointMonitor} per endpoint; disposal stops all of them and waits until they have ended. */
export class EndpointMonitors implements AsyncDisposable {
    private readonly tasks = new Map<EndpointState, MonitorTask>();
    private stopped = false;

    /** Number of monitored endpoints. */
    get size(): number {
        return this.tasks.size;
    }

    /** Starts and stops monitors so that exactly the given endpoints of a pool are monitored. */
    setEndpoints(pool: string, endpoints: readonly EndpointState[], context: EndpointMonitorContext): void {
        const selected = new Set(endpoints);
        for (const [endpoint, { controller }] of this.tasks) {
            if (endpoint.pool === pool && !selected.has(endpoint)) {
                controller.abort();
                this.tasks.delete(endpoint);
            }
        }
        for (const endpoint of endpoints) {
            if (!this.tasks.has(endpoint) && !this.stopped) {
                const controller = new AbortController();
                this.tasks.set(endpoint, {
                    controller,
                    ended: new EndpointMonitor(endpoint, context).run(controller.signal),
                });
            }
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        const tasks = [...this.tasks.values()];
        this.tasks.clear();
        tasks.forEach(({ controller }) => {
            controller.abort();
        });
        await Promise.all(tasks.map(({ ended }) => ended));
    }
}
