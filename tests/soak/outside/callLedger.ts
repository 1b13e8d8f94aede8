import type { Milliseconds } from "../../../src/util/clock.js";

/** Longest time from the acknowledgement of a withdrawn key until no call that was sent later runs under it. */
export const keyWithdrawal: Milliseconds = 5_000;

/** Kinds of calls, by what may be repeated. */
export type CallKind = "once" | "repeatable" | "stream" | "resumableStream";

/** One call as its caller sent it. */
export interface SentCall {
    readonly id: string;
    readonly kind: CallKind;
    readonly key: string;
    readonly sentAt: Milliseconds;
    /** Number of the VM that the caller sent it to. */
    readonly entry: number;
}

interface CallRecord extends SentCall {
    runs: number;
    wasRefused: boolean;
}

/** Promises that were seen broken. */
export class Findings {
    private readonly lines: string[] = [];

    constructor(private readonly startedAt: Milliseconds) {}

    get all(): readonly string[] {
        return this.lines;
    }

    /** Adds a broken promise. */
    add(promise: string, detail: string): void {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(2);
        this.lines.push(`${seconds} s ${promise}: ${detail}`);
    }
}

/** What callers sent and what endpoints ran. */
export class CallLedger {
    private readonly calls = new Map<string, CallRecord>();
    private readonly withdrawnAt = new Map<string, Milliseconds>();

    constructor(private readonly findings: Findings) {}

    /** Notes a call before its first byte is sent. */
    noteSent(call: SentCall): void {
        this.calls.set(call.id, { ...call, runs: 0, wasRefused: false });
    }

    /** Notes that the withdrawal of a key was acknowledged. */
    noteWithdrawn(key: string, now: Milliseconds): void {
        this.withdrawnAt.set(key, now);
    }

    /** Whether an endpoint has run a call. */
    hasRun(id: string): boolean {
        return (this.calls.get(id)?.runs ?? 0) > 0;
    }

    /** Notes that an endpoint begins to run a call. */
    noteRun(id: string): void {
        const call = this.calls.get(id);
        if (call === undefined) {
            this.findings.add("unknown call", id);
            return;
        }
        call.runs++;
        const isOnce = call.kind === "once" || call.kind === "stream";
        if (isOnce && call.runs > 1) {
            this.findings.add("at most once", `${id} (${call.kind}) ran ${call.runs} times`);
        }
        if (isOnce && call.wasRefused) {
            this.findings.add("not run is true", `${id} (${call.kind}) runs after it was refused`);
        }
        const withdrawnAt = this.withdrawnAt.get(call.key) ?? Infinity;
        if (call.sentAt > withdrawnAt + keyWithdrawal) {
            const late = Math.round(call.sentAt - withdrawnAt);
            this.findings.add("withdrawn keys", `${id} runs, sent ${late} ms after the acknowledgement`);
        }
    }

    /** Notes an answer that says that the call has not run and never will. */
    noteRefused(id: string): void {
        const call = this.calls.get(id);
        if (call === undefined) {
            return;
        }
        call.wasRefused = true;
        if (call.runs > 0 && (call.kind === "once" || call.kind === "stream")) {
            this.findings.add("not run is true", `${id} (${call.kind}) had run when it was refused`);
        }
    }
}
