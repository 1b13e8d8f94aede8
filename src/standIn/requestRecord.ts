import type { Milliseconds, UnixMilliseconds } from "../util/clock.js";

/** Largest part of a body that is kept, in bytes. */
const maximumBodyBytes = 256 * 1024;

/** A header as it arrived: name in its original letters, and value. */
export type RawHeader = readonly [name: string, value: string];

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

/** What the record learns of a request after its headers. */
export type RequestProgress = Partial<Pick<RecordedRequest, "bodyBytes" | "status">> & { readonly body?: Buffer; };

/** The newest requests that a stand-in received, in order of arrival. */
export class RequestRecord {
    private readonly requests = new Map<number, RecordedRequest>();
    private received = 0;

    /** @param limit Number of requests that are kept. */
    constructor(private readonly limit: number) {}

    /** Number of requests received so far, also those that are no longer kept. */
    get count(): number {
        return this.received;
    }

    /** Takes in a request whose headers have arrived; returns its number. */
    begin(
        request: Pick<RecordedRequest, "receivedAt" | "receivedMonotonic" | "method" | "target" | "headers">,
    ): number {
        this.received++;
        this.requests.set(this.received, {
            ...request,
            number: this.received,
            body: "",
            bodyBytes: 0,
            status: undefined,
        });
        this.requests.delete(this.received - this.limit);
        return this.received;
    }

    /** Adds what became known of a request. */
    update(number: number, progress: RequestProgress): void {
        const known = this.requests.get(number);
        if (known === undefined) {
            return;
        }
        const body = progress.body?.subarray(0, maximumBodyBytes).toString("utf8") ?? known.body;
        this.requests.set(number, { ...known, ...progress, body });
    }

    /** The kept requests after a number, oldest first. */
    after(number = 0): readonly RecordedRequest[] {
        return [...this.requests.values()].filter(request => request.number > number);
    }

    /** The kept requests whose target, headers or body contain a text; proves that a secret never arrived. */
    containing(text: string): readonly RecordedRequest[] {
        return this.after().filter(request =>
            request.target.includes(text)
            || request.body.includes(text)
            || request.headers.some(([name, value]) => name.includes(text) || value.includes(text))
        );
    }
}
