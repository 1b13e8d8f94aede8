import { randomInt } from "node:crypto";
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
import { createIncarnation } from "./entryIncarnation.js";
import type { EntryIncarnation } from "./entryIncarnation.js";
import { EntryMetrics } from "./entryMetrics.js";
import { PoolDispatcher } from "./poolDispatcher.js";
import { ServingPermit } from "./servingPermit.js";
import { UsageRecorder } from "./usageRecorder.js";

/** Number of seeds of the random choices of a process. */
const seeds = 2 ** 31;

/** Everything that an entry process holds beside its tasks. */
export class EntryProcessState implements Disposable {
    readonly configuration = new EntryConfiguration();
    readonly permit = new ServingPermit();
    readonly metrics = new EntryMetrics();
    readonly clients = new EndpointClients();
    readonly discovery: Discovery;
    readonly usage: UsageRecorder;
    /** Whether the process is about to stop; it still serves those who come. */
    draining = false;
    private readonly dispatchers = new Map<string, PoolDispatcher>();
    private requestCount = 0;
    private currentIncarnation: EntryIncarnation;

    constructor(
        readonly settings: EntrySettings,
        readonly clock: Clock,
        readonly eventLog: EventLog,
    ) {
        this.currentIncarnation = createIncarnation(clock.unixNow());
        this.usage = new UsageRecorder(this.currentIncarnation.name);
        this.discovery = new Discovery(new RandomSource(randomInt(seeds)), settings.discoverySeconds);
        this.configuration.onChange(configuration => {
            this.updatePools(configuration);
            eventLog.write("configurationInForce", { version: configuration.version });
        });
    }

    /** Differs at each start, and after control has declared the last one over. */
    get incarnation(): EntryIncarnation {
        return this.currentIncarnation;
    }

    /** Begins a new incarnation if the given one is the present one. */
    renewIncarnation(ended: string): void {
        if (ended === this.currentIncarnation.name) {
            this.currentIncarnation = createIncarnation(this.clock.unixNow());
            this.usage.enterIncarnation(this.currentIncarnation.name);
        }
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
        return `${this.settings.name}-${this.incarnation.name}-${this.requestCount}`;
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
