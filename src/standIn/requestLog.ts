import type { Milliseconds, UnixMilliseconds } from "../util/clock.js";

/** Maximum length of the stored part of a request body, in bytes. */
const maximumBodyBytes = 256 * 1024;

/** Maximum number of stored requests. */
const maximumStoredRequests = 100_000;

/** Maximum total length of the stored bodies, in UTF-16 code units (equal to bytes for ASCII text). */
const maximumStoredBodyLength = 128 * 1024 * 1024;

/** A header as received; the name keeps its original case. */
export interface RawHeader {
    readonly name: string;
    readonly value: string;
}

/** A request that a stand-in received. */
export interface LoggedRequest {
    /** Sequence number among all requests that the stand-in received, starting at 1. */
    readonly number: number;
    /** Time at which the headers arrived. */
    readonly receivedAt: UnixMilliseconds;
    /** Time at which the headers arrived, on the monotonic clock. */
    readonly receivedMonotonic: Milliseconds;
    readonly method: string;
    /** Path and query string, as received. */
    readonly target: string;
    readonly headers: readonly RawHeader[];
    /** The body decoded as UTF-8 and truncated to {@link maximumBodyBytes}; empty until the whole body has arrived. */
    readonly body: string;
    /** Length of the whole body in bytes. */
    readonly bodyBytes: number;
    /** Status code of the response; undefined while there is none, or when a fault dropped the response. */
    readonly status: number | undefined;
}

/** The part of a request that is known when its headers have arrived. */
export type RequestHead = Omit<LoggedRequest, "number" | "body" | "bodyBytes" | "status">;

/** Data of a request that becomes known after its headers. */
export interface RequestUpdate {
    readonly body?: Buffer;
    readonly bodyBytes?: number;
    readonly status?: number;
}

/** A bounded log of the requests that a stand-in received, in order of arrival; the oldest are evicted first. */
export class RequestLog {
    private readonly requests = new Map<number, LoggedRequest>();
    private received = 0;
    private keptBytes = 0;

    /** Number of requests received so far, including evicted ones. */
    get count(): number {
        return this.received;
    }

    /** Adds a request whose headers have arrived; returns its number. */
    add(head: RequestHead): number {
        this.received++;
        this.requests.set(this.received, {
            ...head,
            number: this.received,
            body: "",
            bodyBytes: 0,
            status: undefined,
        });
        this.evictOldest();
        return this.received;
    }

    /** Updates a request; does nothing when it has been evicted. */
    update(number: number, change: RequestUpdate): void {
        const current = this.requests.get(number);
        if (current === undefined) {
            return;
        }
        const body = change.body?.subarray(0, maximumBodyBytes).toString("utf8") ?? current.body;
        this.keptBytes += body.length - current.body.length;
        this.requests.set(number, { ...current, ...change, body });
    }

    /** The stored requests whose number is greater than the given one, oldest first. */
    listAfter(number = 0): readonly LoggedRequest[] {
        return [...this.requests.values()].filter(request => request.number > number);
    }

    /** The stored requests whose target, headers or body contain a text; used to check that a secret never arrived. */
    findContaining(text: string): readonly LoggedRequest[] {
        return this.listAfter().filter(request =>
            request.target.includes(text)
            || request.body.includes(text)
            || request.headers.some(header => header.name.includes(text) || header.value.includes(text))
        );
    }

    private evictOldest(): void {
        for (const [number, request] of this.requests) {
            if (this.requests.size <= maximumStoredRequests && this.keptBytes <= maximumStoredBodyLength) {
                return;
            }
            this.requests.delete(number);
            this.keptBytes -= request.body.length;
        }
    }
}

/** Parses the `rawHeaders` list of Node.js, in which names and values alternate. */
export function parseRawHeaders(list: readonly string[]): readonly RawHeader[] {
    const headers: RawHeader[] = [];
    for (let index = 0; index + 1 < list.length; index += 2) {
        headers.push({ name: list[index] ?? "", value: list[index + 1] ?? "" });
    }
    return headers;
}
