import { readEndpointPage } from "../../../../platform/endpointList.js";
import { endpointListPath } from "../../../../platform/platformCalls.js";
import { httpCall } from "../../../connection/httpCall.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import { Err, Ok } from "../../../util/result.js";
import type { Result } from "../../../util/result.js";
import type { SuspensionDetector } from "../../../util/suspensionDetector.js";
import type { EndpointRecord } from "../endpointRecord.js";
import { EndpointLists } from "./endpointLists.js";
import type { EndpointListSnapshot } from "./endpointLists.js";
import { PagedReadings } from "./pagedReadings.js";

/** Minimum poll interval; a fraction of the time within which entries must stop using an endpoint that is leaving. */
const minimumPollInterval: Milliseconds = 350;

/** Fraction of the platform's rate limit used for polling; without a leader, several processes poll and share it. */
const rateLimitFraction = 0.5;

/** Timeout of the request for one page. */
const pageTimeout: Milliseconds = 1_500;

/** Maximum size of one page of the list, in bytes. */
const maximumPageBytes = 4 * 1024 * 1024;

/** Maximum number of pages per list; guards against a list whose pages never end. */
const maximumPages = 400;

/** Maximum size of all pages of one list together, in bytes: several times that of the largest installation. */
const maximumListBytes = 16 * 1024 * 1024;

/** Minimum time between two log lines about rows that cannot be read. */
const unreadableReportInterval: Milliseconds = 10_000;

/** Maximum number of rows that one log line names. */
const maximumReportedRows = 4;

/** Dependencies of {@link EndpointListPoller}. */
export interface EndpointListPollerOptions {
    /** Host and port. */
    readonly platformAddress: string;
    /** Rate limit for list calls of all processes together, in calls per second. */
    readonly callsPerSecond: number;
    readonly clock: Clock;
    readonly suspensionDetector: SuspensionDetector;
    readonly eventLog: EventLog;
    /** Whether this process currently polls the list; not all do, to stay within the platform's rate limit. */
    readonly shouldPoll: () => boolean;
    /** Called after the list has changed. */
    readonly onChange: () => void;
    /** Called after each reading. */
    readonly onReading: (snapshot: EndpointListSnapshot) => void;
}

/** Polls the platform's endpoint list while this process is responsible for it. */
export class EndpointListPoller {
    private readonly lists = new EndpointLists(() => {
        this.reportChange();
    });
    private isFailing = false;
    private pageCount = 1;
    private readonly readings = new PagedReadings();
    private unreadableRows: readonly string[] = [];
    private reportedUnreadableRows = "";
    private unreadableReportDueAt: Milliseconds = -Infinity;

    constructor(private readonly options: EndpointListPollerOptions) {}

    /** The newest complete snapshot. */
    get snapshot(): EndpointListSnapshot | undefined {
        return this.lists.snapshot;
    }

    /** Polls until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, shouldPoll } = this.options;
        while (!signal.aborted) {
            if (shouldPoll()) {
                await this.poll(signal);
            }
            await clock.sleep(this.pollInterval(), signal);
        }
    }

    /** Delay before the next poll, long enough to keep its pages within the platform's rate limit. */
    private pollInterval(): Milliseconds {
        const rateLimitedInterval = this.pageCount * 1_000 / (this.options.callsPerSecond * rateLimitFraction);
        return Math.max(minimumPollInterval, rateLimitedInterval);
    }

    private async poll(signal: AbortSignal): Promise<void> {
        const { clock, suspensionDetector } = this.options;
        const polledAt = suspensionDetector.now();
        const rows = await this.readPages(signal);
        if (rows.err) {
            this.reportFailure(rows.val);
            return;
        }
        const endpoints = this.readings.add(rows.val, this.pageCount, polledAt);
        if (this.isFailing) {
            this.isFailing = false;
            this.options.eventLog.write("endpointListRegained", { endpoints: endpoints.length });
        }
        this.reportUnreadableRows(clock.now());
        this.lists.add({ endpoints, polledAt, uncertainty: 0 });
        if (this.lists.snapshot !== undefined) {
            this.options.onReading(this.lists.snapshot);
        }
    }

    private reportChange(): void {
        const endpoints = this.lists.snapshot?.endpoints ?? [];
        const leaving = endpoints.filter(endpoint => endpoint.isLeaving).length;
        const fields = { endpoints: endpoints.length, leaving, unreadableRows: this.unreadableRows.length };
        this.options.eventLog.write("endpointListChanged", fields);
        this.options.onChange();
    }

    private async readPages(signal: AbortSignal): Promise<Result<readonly EndpointRecord[], string>> {
        const endpoints: EndpointRecord[] = [];
        const unreadableRows: string[] = [];
        this.unreadableRows = unreadableRows;
        let page: string | undefined;
        let listBytes = 0;
        for (let pages = 0; pages < maximumPages; pages++) {
            const response = await httpCall({
                address: this.options.platformAddress,
                method: "GET",
                path: endpointListPath(page),
                timeout: pageTimeout,
                maximumResponseBytes: maximumPageBytes,
                signal,
            });
            if (response.err) {
                return response;
            }
            listBytes += response.val.body.length;
            if (listBytes > maximumListBytes) {
                return Err("the endpoint list exceeds the maximum size");
            }
            const read = response.val.status === 200 ? readEndpointPage(parseJson(response.val.body)) : undefined;
            if (read === undefined) {
                return Err(`the response with status ${response.val.status} is not an endpoint list`);
            }
            endpoints.push(...read.endpoints);
            unreadableRows.push(...read.unreadableRows);
            if (read.nextPage === undefined) {
                this.pageCount = pages + 1;
                return Ok(endpoints);
            }
            page = read.nextPage;
        }
        return Err("the endpoint list exceeds the maximum number of pages");
    }

    /** Logs the rows that were left out when they change, not more often than the minimum interval. */
    private reportUnreadableRows(now: Milliseconds): void {
        const rows = this.unreadableRows.slice(0, maximumReportedRows).join("; ");
        if (rows === this.reportedUnreadableRows || now < this.unreadableReportDueAt) {
            return;
        }
        this.reportedUnreadableRows = rows;
        this.unreadableReportDueAt = now + unreadableReportInterval;
        this.options.eventLog.write("endpointRowsUnreadable", { count: this.unreadableRows.length, rows });
    }

    private reportFailure(reason: string): void {
        if (!this.isFailing) {
            this.isFailing = true;
            this.options.eventLog.write("endpointListLost", { reason });
        }
    }
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch {
        // The caller reports a body that is not JSON as an invalid list.
        return undefined;
    }
}
