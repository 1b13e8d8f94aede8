import { httpCall } from "../../connection/httpCall.js";
import type { Clock, Milliseconds } from "../../util/clock.js";

/** Delay between a response and the next poll, in milliseconds; it limits the resolution of the measured times. */
const pollDelay: Milliseconds = 10;

/** Timeout of one poll, in milliseconds. */
const pollTimeout: Milliseconds = 500;

/** Result of one poll. */
export interface PollResult {
    /** When the request was sent. */
    readonly sentAt: Milliseconds;
    /** When the response was received, or the poll failed. */
    readonly receivedAt: Milliseconds;
    /** HTTP status; 0 if there was no response. */
    readonly status: number;
}

/** The request that a {@link StatusPoller} repeats. */
export interface PollRequest {
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly token: string;
    readonly body?: string;
}

/** Sends the same request to one process repeatedly and records the results, until it is disposed. */
export class StatusPoller implements AsyncDisposable {
    private readonly recorded: PollResult[] = [];
    private readonly stopController = new AbortController();
    private readonly pollLoop: Promise<void>;

    constructor(private readonly request: PollRequest, private readonly clock: Clock) {
        this.pollLoop = this.run();
    }

    /** All results so far, in the order in which the requests were sent. */
    get results(): readonly PollResult[] {
        return this.recorded;
    }

    /** The first result with a status whose request was sent at or after a time, if there is one yet. */
    firstSince(time: Milliseconds, status: number): PollResult | undefined {
        return this.recorded.find(result => result.sentAt >= time && result.status === status);
    }

    /** The most recent result with a status, if there is one yet. */
    lastWithStatus(status: number): PollResult | undefined {
        return this.recorded.findLast(result => result.status === status);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopController.abort();
        await this.pollLoop;
    }

    private async run(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            this.recorded.push(await this.poll());
            await this.clock.sleep(pollDelay, this.stopController.signal);
        }
    }

    private async poll(): Promise<PollResult> {
        const { token, ...call } = this.request;
        const sentAt = this.clock.now();
        const headers = { authorization: `Bearer ${token}`, "content-type": "application/json" };
        const response = await httpCall({ ...call, headers, timeout: pollTimeout });
        return { sentAt, receivedAt: this.clock.now(), status: response.ok ? response.val.status : 0 };
    }
}

/**
 * Duration of the longest run of consecutive results with a status, in milliseconds, from sending its first request to
 * receiving its last response; 0 if no result has the status.
 */
export function longestRunDuration(results: readonly PollResult[], status: number): Milliseconds {
    let longest = 0;
    let runStart: Milliseconds | undefined;
    for (const result of results) {
        if (result.status !== status) {
            runStart = undefined;
            continue;
        }
        runStart ??= result.sentAt;
        longest = Math.max(longest, result.receivedAt - runStart);
    }
    return longest;
}
