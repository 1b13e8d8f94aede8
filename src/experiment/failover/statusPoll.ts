import { httpCall } from "../../connection/httpCall.js";
import type { Clock, Milliseconds } from "../../util/clock.js";

/** Pause between two questions to one process, and so how exact the times are, in milliseconds. */
const pollPause: Milliseconds = 10;

/** Longest wait for one answer, in milliseconds. */
const pollTimeout: Milliseconds = 500;

/** What a process answered at one moment. */
export interface PolledStatus {
    /** When the question was sent. */
    readonly askedAt: Milliseconds;
    readonly answeredAt: Milliseconds;
    /** HTTP status; 0 for no answer. */
    readonly status: number;
}

/** A question to one process. */
export interface StatusQuestion {
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly token: string;
    readonly body?: string;
}

/** Asks one process again and again and keeps what it answered. */
export class StatusPoll implements AsyncDisposable {
    private readonly answers: PolledStatus[] = [];
    private readonly stop = new AbortController();
    private readonly running: Promise<void>;

    constructor(private readonly question: StatusQuestion, private readonly clock: Clock) {
        this.running = this.run();
    }

    /** Every answer so far, in the order of the questions. */
    get statuses(): readonly PolledStatus[] {
        return this.answers;
    }

    /** The first answer of a status to a question sent at a time or later, if there is one yet. */
    firstAfter(time: Milliseconds, status: number): PolledStatus | undefined {
        return this.answers.find(answer => answer.askedAt >= time && answer.status === status);
    }

    /** The last answer of a status, if there is one yet. */
    last(status: number): PolledStatus | undefined {
        return this.answers.findLast(answer => answer.status === status);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        while (!this.stop.signal.aborted) {
            this.answers.push(await this.ask());
            await this.clock.sleep(pollPause, this.stop.signal);
        }
    }

    private async ask(): Promise<PolledStatus> {
        const { token, ...call } = this.question;
        const askedAt = this.clock.now();
        const headers = { authorization: `Bearer ${token}`, "content-type": "application/json" };
        const answer = await httpCall({ ...call, headers, timeout: pollTimeout });
        return { askedAt, answeredAt: this.clock.now(), status: answer.ok ? answer.val.status : 0 };
    }
}

/** Longest time between an answer of a status and the next answer of another one, in milliseconds. */
export function longestRun(statuses: readonly PolledStatus[], status: number): Milliseconds {
    let longest = 0;
    let begun: Milliseconds | undefined;
    for (const answer of statuses) {
        if (answer.status !== status) {
            begun = undefined;
            continue;
        }
        begun ??= answer.askedAt;
        longest = Math.max(longest, answer.answeredAt - begun);
    }
    return longest;
}
