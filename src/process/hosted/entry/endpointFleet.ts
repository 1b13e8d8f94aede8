import { isDeepStrictEqual } from "node:util";
import type { OpenConnection } from "../../../connection/hosted/endpointAgent.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import { incarnationKey, isCallable } from "../endpointRecord.js";
import type { EndpointRecord, KnownRun } from "../endpointRecord.js";
import type { StreamOrigin } from "../streamOrigin.js";
import type { ActiveEndpoints } from "./endpointReachability.js";
import { HostedEndpoint } from "./hostedEndpoint.js";
import { LeavingRecord } from "./leavingRecord.js";
import type { ListReading } from "./listReading.js";

/**
 * Time for which an endpoint that is no longer listed is kept: its running calls may end, and a row that some lists
 * lacked finds it again, with its connections and all that it has stated.
 */
const unlistedRetentionTime: Milliseconds = 30_000;

/** An endpoint that the list in force lacks. */
interface UnlistedEndpoint {
    readonly endpoint: HostedEndpoint;
    /** Forgets the endpoint after a time. */
    readonly timer: NodeJS.Timeout;
}

/** All endpoints listed by the platform. */
export class EndpointFleet implements Disposable {
    /** The endpoints of the list in force, by incarnation. */
    private endpoints: ReadonlyMap<string, HostedEndpoint> = new Map();
    private readonly unlisted = new Set<UnlistedEndpoint>();
    private byService = new Map<string, readonly HostedEndpoint[]>();
    /** Which endpoints this entry knows to be leaving, and since when; for logs and metrics. */
    readonly leavingRecord = new LeavingRecord();
    /** The reading of the list in force; undefined before the first one. */
    private reading: ListReading | undefined;
    /** When the first list was applied. */
    private listedSince: Milliseconds = Infinity;
    /** When each software version of a service was last listed, by service. */
    private readonly versionsSeenAt = new Map<string, Map<string | undefined, Milliseconds>>();

    constructor(private readonly eventLog: EventLog, private readonly openConnection?: OpenConnection) {}

    /** Whether an endpoint list was received. */
    get hasList(): boolean {
        return this.reading !== undefined;
    }

    /**
     * Applies an endpoint list unless the one in force may be newer; what such a list says of leaving endpoints is taken
     * into account all the same. Leaves out endpoints that cannot be called, which a control process of an earlier build
     * may send.
     */
    applyList(listedRecords: readonly EndpointRecord[], reading: ListReading, now: Milliseconds): void {
        const { reading: previous } = this;
        if (previous !== undefined && previous.link !== reading.link && reading.earliest <= previous.latest) {
            if (reading.latest >= previous.earliest) {
                this.recordLeavingRows(listedRecords, reading, now);
            }
            return;
        }
        this.reading = reading;
        if (previous !== undefined && isSameList(previous, reading)) {
            this.confirmList(reading);
            return;
        }
        const records = listedRecords.filter(isCallable);
        if (previous !== undefined && this.isListInForce(records)) {
            this.confirmList(reading);
            return;
        }
        this.replaceList(records, reading, now);
    }

    private confirmList(reading: ListReading): void {
        this.endpoints.forEach(endpoint => {
            endpoint.confirmListing(reading);
        });
    }

    private replaceList(records: readonly EndpointRecord[], reading: ListReading, now: Milliseconds): void {
        this.listedSince = Math.min(this.listedSince, now);
        this.recordVersions(now);
        const { added, removed, returned } = this.replaceEndpoints(records, reading);
        this.byService = groupByService(this.endpoints.values());
        this.recordVersions(now);
        this.recordLeavingRows(records, reading, now);
        this.eventLog.write("endpointListTaken", {
            endpoints: records.length,
            added,
            removed,
            returned,
            leaving: records.filter(({ isLeaving }) => isLeaving).length,
            age: Math.round(reading.age),
            control: reading.control,
            revision: reading.revision,
            uncertainty: Math.round(reading.latest - reading.earliest),
        });
    }

    /**
     * Time since the list in force was read from the platform, at the longest; infinite before the first one.
     *
     * @param now By the suspension detector's time.
     */
    listAge(now: Milliseconds): Milliseconds {
        return now - (this.reading?.earliest ?? -Infinity);
    }

    /** Address of the control process that read the list in force; undefined before the first one. */
    get listSource(): string | undefined {
        return this.reading?.control;
    }

    /**
     * The only software version of a service, if no other one was listed for a time.
     *
     * @param duration Time for which streams may be continued.
     */
    onlyOrigin(service: string, duration: Milliseconds, now: Milliseconds): StreamOrigin | undefined {
        const versions = [...this.versionsSeenAt.get(service) ?? []].filter(([version, seenAt]) => {
            return now - seenAt < duration || this.isListed(service, version);
        });
        const softwareVersion = versions.length === 1 ? versions[0]?.[0] : undefined;
        return softwareVersion === undefined || now - this.listedSince < duration
            ? undefined
            : { service, softwareVersion };
    }

    /** @param now By the suspension detector's time. */
    write(writer: ExpositionWriter, now: Milliseconds): void {
        if (this.hasList) {
            const ageFamily = "gullhall_endpoint_list_age_seconds";
            writer.family(
                ageFamily,
                "gauge",
                "Time since the list in force was read from the platform, at the longest.",
            );
            writer.sample(ageFamily, { control: this.listSource ?? "" }, this.listAge(now) / 1_000);
        }
        this.leavingRecord.write(writer);
        const endpointsFamily = "gullhall_endpoints_by_version";
        const callsFamily = "gullhall_endpoint_calls_by_version";
        writer.family(endpointsFamily, "gauge", "Listed endpoints, by service and software version.");
        writer.family(
            callsFamily,
            "gauge",
            "Calls of this entry that run at endpoints, by service and software version.",
        );
        for (const [service, endpoints] of this.byService) {
            for (const version of new Set(endpoints.map(({ record }) => record.softwareVersion))) {
                const ofVersion = endpoints.filter(({ record }) => record.softwareVersion === version);
                const labels = { service, version: version ?? "unknown" };
                writer.sample(endpointsFamily, labels, ofVersion.length);
                writer.sample(callsFamily, labels, ofVersion.reduce((sum, each) => sum + each.outstandingCount, 0));
            }
        }
    }

    /** Addresses of all listed endpoints that accept new calls. */
    get addresses(): readonly string[] {
        return [...this.endpoints.values()].filter(({ isLeaving }) => !isLeaving).map(({ record }) => record.address);
    }

    /** Endpoints at which this entry has running calls, and those of them without data for a time. */
    activeEndpoints(silence: Milliseconds, now: Milliseconds): ActiveEndpoints {
        const active = [...this.endpoints.values()].filter(({ outstandingCount }) => outstandingCount > 0);
        return { count: active.length, silent: active.filter(endpoint => endpoint.silentTime(now) > silence).length };
    }

    /** Forgets the failures of all endpoints, which were those of this entry's links. */
    resetHealth(): void {
        this.endpoints.forEach(endpoint => {
            endpoint.resetHealth();
        });
    }

    /** The endpoint of a run, listed or not; undefined if this entry does not know it. */
    find(run: KnownRun): HostedEndpoint | undefined {
        return findSameRun(this.endpoints.values(), run)
            ?? findSameRun([...this.unlisted].map(({ endpoint }) => endpoint), run);
    }

    /** The endpoints of a service that accept new calls. */
    serving(service: string): readonly HostedEndpoint[] {
        return this.byService.get(service)?.filter(endpoint => !endpoint.isLeaving) ?? [];
    }

    [Symbol.dispose](): void {
        this.unlisted.forEach(({ endpoint, timer }) => {
            clearTimeout(timer);
            endpoint[Symbol.dispose]();
        });
        this.endpoints.forEach(endpoint => {
            endpoint[Symbol.dispose]();
        });
    }

    private isListed(service: string, version: string | undefined): boolean {
        return this.byService.get(service)?.some(({ record }) => record.softwareVersion === version) === true;
    }

    private recordVersions(now: Milliseconds): void {
        for (const { record: { service, softwareVersion } } of this.endpoints.values()) {
            const versions = this.versionsSeenAt.get(service) ?? new Map<string | undefined, Milliseconds>();
            this.versionsSeenAt.set(service, versions.set(softwareVersion, now));
        }
    }

    /**
     * Replaces the listed endpoints; those that are the same run as a known one keep its state.
     *
     * @returns Numbers of endpoints that are new, that are no longer listed, and that are listed again.
     */
    private replaceEndpoints(
        records: readonly EndpointRecord[],
        reading: ListReading,
    ): { readonly added: number; readonly removed: number; readonly returned: number; } {
        const unused = new Set(this.endpoints.values());
        const unlisted = new Set(this.unlisted);
        const next = new Map<string, HostedEndpoint>();
        let added = 0;
        let returned = 0;
        const byCertainty = [...records].sort((a, b) => Number(this.isKnown(b)) - Number(this.isKnown(a)));
        for (const record of byCertainty) {
            const key = incarnationKey(record);
            const listed = next.get(key) ?? this.endpoints.get(key) ?? findSameRun(unused, record);
            const missed = listed === undefined
                ? [...unlisted].find(({ endpoint }) => endpoint.mayBe(record))
                : undefined;
            const endpoint = listed ?? missed?.endpoint ?? new HostedEndpoint(record, this.openConnection);
            if (missed !== undefined) {
                clearTimeout(missed.timer);
                this.unlisted.delete(missed);
                unlisted.delete(missed);
                // It may have been restarted: failures from before say nothing about it.
                missed.endpoint.resetHealth();
                returned++;
            }
            else if (listed === undefined) {
                added++;
                this.leavingRecord.remove(record);
            }
            unused.delete(endpoint);
            endpoint.updateRecord(record, reading);
            next.set(key, endpoint);
        }
        unused.forEach(endpoint => {
            this.keepUnlisted(endpoint);
        });
        this.endpoints = next;
        return { added, removed: unused.size, returned };
    }

    /** Takes the endpoints that a list shows as leaving out of new choices. */
    private recordLeavingRows(records: readonly EndpointRecord[], reading: ListReading, now: Milliseconds): void {
        for (const record of records.filter(each => each.isLeaving && isCallable(each))) {
            const endpoint = this.endpoints.get(incarnationKey(record)) ?? findSameRun(this.endpoints.values(), record);
            endpoint?.recordListedLeaving(reading);
            if (this.leavingRecord.add(record, now)) {
                this.eventLog.write("endpointLeavingListed", { endpoint: record.id, control: reading.control });
            }
        }
    }

    /** Whether a list does not differ from the one in force, warm-up times apart. */
    private isListInForce(records: readonly EndpointRecord[]): boolean {
        return records.length === this.endpoints.size && records.every(record => {
            const known = this.endpoints.get(incarnationKey(record))?.record;
            return known !== undefined
                && isDeepStrictEqual({ ...known, warmUpTime: 0 }, { ...record, warmUpTime: 0 });
        });
    }

    private isKnown(record: EndpointRecord): boolean {
        return this.endpoints.has(incarnationKey(record));
    }

    private keepUnlisted(endpoint: HostedEndpoint): void {
        const timer = setTimeout(() => {
            this.unlisted.delete(kept);
            endpoint[Symbol.dispose]();
        }, unlistedRetentionTime);
        timer.unref();
        const kept = { endpoint, timer };
        this.unlisted.add(kept);
    }
}

function findSameRun(endpoints: Iterable<HostedEndpoint>, run: KnownRun): HostedEndpoint | undefined {
    for (const endpoint of endpoints) {
        if (endpoint.mayBe(run)) {
            return endpoint;
        }
    }
    return undefined;
}

/** Whether two readings found the same list, and came on the same link. */
function isSameList(a: ListReading, b: ListReading): boolean {
    return a.link === b.link && a.revision !== undefined && a.revision === b.revision;
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
