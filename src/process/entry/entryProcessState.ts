import { randomBytes } from "node:crypto";
import type { EntryStatus } from "../../connection/entryMessages.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import { FirstComeQueue } from "../../request/admission/firstComeQueue.js";
import { LeastOutstandingChooser } from "../../request/routing/leastOutstandingChooser.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { EntrySettings } from "../../settings/entrySettings.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import type { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { Discovery } from "./discovery.js";
import { EndpointClients } from "./endpointClients.js";
import { EndpointState } from "./endpointState.js";
import { EntryConfiguration } from "./entryConfiguration.js";
import { EntryMetrics } from "./entryMetrics.js";
import { PoolDispatcher } from "./poolDispatcher.js";
import { ServingPermit } from "./servingPermit.js";

/** Bytes of the random name of a process start. */
const incarnationBytes = 6;

/** Everything that an entry process holds beside its tasks. */
export class EntryProcessState implements Disposable {
    /** Differs at each start. */
    readonly incarnation = randomBytes(incarnationBytes).toString("hex");
    readonly configuration = new EntryConfiguration();
    readonly permit = new ServingPermit();
    readonly metrics = new EntryMetrics();
    readonly clients = new EndpointClients();
    readonly discovery: Discovery;
    /** Whether the process is about to stop; it still serves those who come. */
    draining = false;
    private readonly dispatchers = new Map<string, PoolDispatcher>();
    private requestCount = 0;

    constructor(
        readonly settings: EntrySettings,
        readonly clock: Clock,
        readonly eventLog: EventLog,
    ) {
        const seed = Buffer.from(this.incarnation, "hex").readInt32BE(0);
        this.discovery = new Discovery(new RandomSource(seed), settings.discoverySeconds);
        this.configuration.onChange(configuration => {
            this.updatePools(configuration);
            eventLog.write("configurationInForce", { version: configuration.version });
        });
    }

    /** Why no request may be served now; undefined when they may. */
    unreadiness(): Failure | undefined {
        if (this.permit.holds(this.configuration.current.version, this.clock.now())) {
            return undefined;
        }
        return failure("permitExpired", { entries: this.discovery.alternatives(this.settings.name) });
    }

    /** A request identifier that no other entry and no other start of this one uses. */
    nextRequestId(): string {
        this.requestCount++;
        return `${this.settings.name}-${this.incarnation}-${this.requestCount}`;
    }

    /** The dispatcher of a pool of the configuration in force. */
    dispatcherOf(pool: string): PoolDispatcher {
        const known = this.dispatchers.get(pool);
        if (known !== undefined) {
            return known;
        }
        const created = new PoolDispatcher(new FirstComeQueue(), new LeastOutstandingChooser(), this.clock);
        this.dispatchers.set(pool, created);
        return created;
    }

    /** What is told to control processes. */
    status(): EntryStatus {
        const dispatchers = [...this.dispatchers.values()];
        return {
            draining: this.draining,
            runningRequests: dispatchers.reduce((sum, dispatcher) => sum + dispatcher.running, 0),
            waitingRequests: dispatchers.reduce((sum, dispatcher) => sum + dispatcher.waiting, 0),
        };
    }

    /** Does what is due at regular intervals. */
    sweep(now: Milliseconds): void {
        this.dispatchers.forEach(dispatcher => {
            dispatcher.sweep(now);
        });
    }

    [Symbol.dispose](): void {
        this.clients[Symbol.dispose]();
    }

    private updatePools(configuration: CompiledConfiguration): void {
        for (const pool of configuration.allPools) {
            const dispatcher = this.dispatcherOf(pool.name);
            const known = new Map(dispatcher.endpoints.map(endpoint => [endpoint.name, endpoint]));
            dispatcher.setEndpoints(pool.endpoints.map(description => {
                const before = known.get(description.name);
                const same = before?.description.address === description.address;
                return same ? before : new EndpointState(description, pool.name, pool.concurrentRequestsPerEndpoint);
            }));
        }
    }
}
