import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { EndpointRecord } from "../endpointRecord.js";
import { HostedEndpoint } from "./hostedEndpoint.js";

/** How long connections of an endpoint that is no longer listed stay open for the calls that run there. */
const lingerTime: Milliseconds = 30_000;

/** All endpoints that the platform lists. */
export class EndpointFleet implements Disposable {
    private readonly endpoints = new Map<string, HostedEndpoint>();
    private readonly lingering = new Set<NodeJS.Timeout>();
    private byService = new Map<string, readonly HostedEndpoint[]>();
    private readAt: Milliseconds = -Infinity;

    constructor(private readonly eventLog: EventLog) {}

    /** Whether a list was taken over. */
    get isKnown(): boolean {
        return this.readAt > -Infinity;
    }

    /**
     * Takes over a list unless a newer one is known.
     *
     * @param age Time since the list was read.
     */
    take(records: readonly EndpointRecord[], age: Milliseconds, now: Milliseconds): void {
        if (now - age < this.readAt) {
            return;
        }
        this.readAt = now - age;
        const listed = new Set(records.map(keyOf));
        const removed = [...this.endpoints].filter(([key]) => !listed.has(key));
        removed.forEach(([key, endpoint]) => {
            this.endpoints.delete(key);
            this.release(endpoint);
        });
        const added = records.filter(record => this.takeRecord(record)).length;
        this.byService = groupByService(this.endpoints.values());
        const leaving = records.filter(record => record.isLeaving).length;
        const fields = { endpoints: records.length, added, removed: removed.length, leaving, age: Math.round(age) };
        this.eventLog.write("endpointListTaken", fields);
    }

    /** Whole milliseconds since the list last changed, as it was read from the platform. */
    age(now: Milliseconds): Milliseconds {
        return Math.round(now - this.readAt);
    }

    /** The endpoints of a service that take new work. */
    serving(service: string): readonly HostedEndpoint[] {
        return this.byService.get(service)?.filter(endpoint => !endpoint.record.isLeaving) ?? [];
    }

    [Symbol.dispose](): void {
        this.lingering.forEach(clearTimeout);
        this.endpoints.forEach(endpoint => {
            endpoint[Symbol.dispose]();
        });
    }

    /** @returns Whether the endpoint is new. */
    private takeRecord(record: EndpointRecord): boolean {
        const known = this.endpoints.get(keyOf(record));
        known?.update(record);
        if (known === undefined) {
            this.endpoints.set(keyOf(record), new HostedEndpoint(record));
        }
        return known === undefined;
    }

    private release(endpoint: HostedEndpoint): void {
        const timer = setTimeout(() => {
            this.lingering.delete(timer);
            endpoint[Symbol.dispose]();
        }, lingerTime);
        timer.unref();
        this.lingering.add(timer);
    }
}

/** A restarted endpoint may keep its identity; then it knows nothing of before. */
function keyOf(record: EndpointRecord): string {
    return `${record.id} ${record.address} ${record.startedAt ?? ""}`;
}

function groupByService(endpoints: Iterable<HostedEndpoint>): Map<string, readonly HostedEndpoint[]> {
    const groups = new Map<string, HostedEndpoint[]>();
    for (const endpoint of endpoints) {
        const group = groups.get(endpoint.record.service) ?? [];
        group.push(endpoint);
        groups.set(endpoint.record.service, group);
    }
    return groups;
}
