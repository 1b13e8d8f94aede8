import { readEndpointPage } from "../../../../platform/endpointList.js";
import { endpointListPath } from "../../../../platform/platformCalls.js";
import { httpCall } from "../../../connection/httpCall.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import { Err, Ok } from "../../../util/result.js";
import type { Result } from "../../../util/result.js";
import type { EndpointRecord } from "../endpointRecord.js";

/** Pause between two readings: a fraction of the time within which leaving endpoints must be left. */
const readInterval: Milliseconds = 350;

/** Part of the platform's call rate that reading takes at most; the rest is left to other readers while none leads. */
const rateFraction = 0.5;

/** Longest wait for one page. */
const pageTimeout: Milliseconds = 1_500;

/** Pages that are read at most, against a list that never ends. */
const maximumPages = 400;

/** What the watch works with. */
export interface EndpointWatchParts {
    readonly platformAddress: string;
    /** Calls that all processes together may make, a second. */
    readonly callsPerSecond: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Whether this process reads the list at present; others spare the platform's call rate. */
    readonly isReader: () => boolean;
    /** Called when the list has changed. */
    readonly onChange: () => void;
}

/** A reading of the platform's list. */
export interface EndpointListSnapshot {
    readonly endpoints: readonly EndpointRecord[];
    /** When the reading began. */
    readonly polledAt: Milliseconds;
}

/** Reads the platform's list of endpoints while this process is its reader. */
export class EndpointWatch {
    private latest: EndpointListSnapshot | undefined;
    private fingerprint = "";
    private isFailing = false;
    private pages = 1;
    private unreadableRows = 0;

    constructor(private readonly parts: EndpointWatchParts) {}

    /** The newest complete reading. */
    get reading(): EndpointListSnapshot | undefined {
        return this.latest;
    }

    /** Reads until the signal ends it. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, isReader } = this.parts;
        while (!signal.aborted) {
            if (isReader()) {
                await this.read(signal);
            }
            await clock.sleep(this.interval(), signal);
        }
    }

    /** Pause after a reading, so that its pages stay within the platform's call rate. */
    private interval(): Milliseconds {
        const pagesTime = this.pages * 1_000 / (this.parts.callsPerSecond * rateFraction);
        return Math.max(readInterval, pagesTime);
    }

    private async read(signal: AbortSignal): Promise<void> {
        const readAt = this.parts.clock.now();
        const endpoints = await this.readPages(signal);
        if (endpoints.err) {
            this.noteFailure(endpoints.val);
            return;
        }
        if (this.isFailing) {
            this.isFailing = false;
            this.parts.eventLog.write("endpointListRegained", { endpoints: endpoints.val.length });
        }
        this.latest = { endpoints: endpoints.val, polledAt: readAt };
        const fingerprint = fingerprintOf(endpoints.val);
        if (fingerprint !== this.fingerprint) {
            this.fingerprint = fingerprint;
            const leaving = endpoints.val.filter(endpoint => endpoint.isLeaving).length;
            const { unreadableRows } = this;
            const fields = { endpoints: endpoints.val.length, leaving, unreadableRows };
            this.parts.eventLog.write("endpointListChanged", fields);
            this.parts.onChange();
        }
    }

    private async readPages(signal: AbortSignal): Promise<Result<readonly EndpointRecord[], string>> {
        const endpoints: EndpointRecord[] = [];
        this.unreadableRows = 0;
        let page: string | undefined;
        for (let pages = 0; pages < maximumPages; pages++) {
            const answer = await httpCall({
                address: this.parts.platformAddress,
                method: "GET",
                path: endpointListPath(page),
                timeout: pageTimeout,
                signal,
            });
            if (answer.err) {
                return answer;
            }
            const read = answer.val.status === 200 ? readEndpointPage(parseJson(answer.val.body)) : undefined;
            if (read === undefined) {
                return Err(`the answer with status ${answer.val.status} is no list`);
            }
            endpoints.push(...read.endpoints);
            this.unreadableRows += read.unreadableRows;
            if (read.nextPage === undefined) {
                this.pages = pages + 1;
                return Ok(endpoints);
            }
            page = read.nextPage;
        }
        return Err("the list does not end");
    }

    private noteFailure(reason: string): void {
        if (!this.isFailing) {
            this.isFailing = true;
            this.parts.eventLog.write("endpointListLost", { reason });
        }
    }
}

/** What a change must be told for; the remaining warm-up time alone is not worth a message. */
function fingerprintOf(endpoints: readonly EndpointRecord[]): string {
    return JSON.stringify(endpoints.map(endpoint => ({ ...endpoint, warmUpTime: 0 })));
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch {
        // An answer that is no JSON is no list; the caller reports it.
        return undefined;
    }
}
