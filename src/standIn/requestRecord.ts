import type { Milliseconds, UnixMilliseconds } from "../util/clock.js";

/** Largest part of a body that is kept, in bytes. */
const maximumBodyBytes = 256 * 1024;

/** Requests that a record keeps. */
const maximumRequests = 100_000;

/** Bytes of bodies that a record keeps in all. */
const maximumTotalBytes = 128 * 1024 * 1024;

/** A header as it arrived: name in its original letters, and value. */
export interface RawHeader {
    readonly name: string;
    readonly value: string;
}

/** One request as a stand-in received it. */
export interface RecordedRequest {
    /** Position among all requests that the stand-in received, from 1. */
    readonly number: number;
    /** When its headers arrived. */
    readonly receivedAt: UnixMilliseconds;
    /** The same on the monotonic clock. */
    readonly receivedMonotonic: Milliseconds;
    readonly method: string;
    /** Path with query, as received. */
    readonly target: string;
    readonly headers: readonly RawHeader[];
    /** Leading part of the body, as UTF-8; empty until all of it arrived. */
    readonly body: string;
    /** Bytes of the whole body. */
    readonly bodyBytes: number;
    /** Status that was answered; undefined while none was, or when the answer was lost on purpose. */
    readonly status: number | undefined;
}

/** What is known of a request when its headers have arrived. */
export type RequestStart = Omit<RecordedRequest, "number" | "body" | "bodyBytes" | "status">;

/** What the record learns of a request after its headers. */
export interface RequestProgress {
    readonly body?: Buffer;
    readonly bodyBytes?: number;
    readonly status?: number;
}

/** The newest requests that a stand-in received, in order of arrival. */
export class RequestRecord {
    private readonly requests = new Map<number, RecordedRequest>();
    private received = 0;
    private keptBytes = 0;

    /** Number of requests received so far, also those that are no longer kept. */
    get count(): number {
        return this.received;
    }

    /** Takes in a request whose headers have arrived; returns its number. */
    begin(start: RequestStart): number {
        this.received++;
        this.requests.set(this.received, {
            ...start,
            number: this.received,
            body: "",
            bodyBytes: 0,
            status: undefined,
        });
        this.forgetOldest();
        return this.received;
    }

    /** Adds what became known of a request. */
    update(number: number, progress: RequestProgress): void {
        const known = this.requests.get(number);
        if (known === undefined) {
            return;
        }
        const body = progress.body?.subarray(0, maximumBodyBytes).toString("utf8") ?? known.body;
        this.keptBytes += body.length - known.body.length;
        this.requests.set(number, { ...known, ...progress, body });
    }

    /** The kept requests after a number, oldest first. */
    after(number = 0): readonly RecordedRequest[] {
        return [...this.requests.values()].filter(request => request.number > number);
    }

    /** The kept requests whose target, headers or body contain a text; shows that a secret never arrived. */
    containing(text: string): readonly RecordedRequest[] {
        return this.after().filter(request =>
            request.target.includes(text)
            || request.body.includes(text)
            || request.headers.some(header => header.name.includes(text) || header.value.includes(text))
        );
    }

    private forgetOldest(): void {
        for (const [number, request] of this.requests) {
            if (this.requests.size <= maximumRequests && this.keptBytes <= maximumTotalBytes) {
                return;
            }
            this.requests.delete(number);
            this.keptBytes -= request.body.length;
        }
    }
}

/** Headers from the list in which Node.js gives names and values by turns. */
export function rawHeadersOf(list: readonly string[]): readonly RawHeader[] {
    const headers: RawHeader[] = [];
    for (let index = 0; index + 1 < list.length; index += 2) {
        headers.push({ name: list[index] ?? "", value: list[index + 1] ?? "" });
    }
    return headers;
}
