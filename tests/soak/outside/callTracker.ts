import type { Milliseconds } from "../../../src/util/clock.js";

/** Time after the acknowledgement of a key's withdrawal from which no newly sent call may be executed under it. */
export const maximumKeyWithdrawalTime: Milliseconds = 5_000;

/** Kinds of calls, by whether they may be executed more than once. */
export type CallKind = "once" | "repeatable" | "stream" | "resumableStream";

/** A call as its caller sent it. */
export interface SentCall {
    readonly id: string;
    readonly kind: CallKind;
    readonly key: string;
    readonly sentAt: Milliseconds;
    /** Number of the VM that the caller sent it to. */
    readonly entryVmNumber: number;
}

interface CallRecord extends SentCall {
    executions: number;
    wasRefused: boolean;
    /** When an endpoint last began to execute the call. */
    executedAt: Milliseconds | undefined;
    /** When an endpoint had sent its whole answer. */
    answeredAt: Milliseconds | undefined;
}

/** Collects the violated guarantees that were observed. */
export class Findings {
    private readonly messages: string[] = [];

    constructor(private readonly startedAt: Milliseconds) {}

    get all(): readonly string[] {
        return this.messages;
    }

    /** Adds a violation of a guarantee, with the time since the start. */
    add(guarantee: string, detail: string): void {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(2);
        this.messages.push(`${seconds} s ${guarantee}: ${detail}`);
    }
}

/** Tracks what callers sent and what endpoints executed, and reports violated guarantees. */
export class CallTracker {
    private readonly calls = new Map<string, CallRecord>();
    private readonly withdrawnAt = new Map<string, Milliseconds>();

    constructor(private readonly findings: Findings) {}

    /** Records a call before its first byte is sent. */
    recordSent(call: SentCall): void {
        this.calls.set(call.id, {
            ...call,
            executions: 0,
            wasRefused: false,
            executedAt: undefined,
            answeredAt: undefined,
        });
    }

    /** Records that the withdrawal of a key was acknowledged. */
    recordKeyWithdrawal(key: string, now: Milliseconds): void {
        this.withdrawnAt.set(key, now);
    }

    /** Returns whether an endpoint has started to execute a call. */
    wasExecuted(id: string): boolean {
        return (this.calls.get(id)?.executions ?? 0) > 0;
    }

    /** Returns when an endpoint last began to execute a call, and when it had sent its whole answer. */
    executionOf(id: string): Pick<CallRecord, "executedAt" | "answeredAt"> | undefined {
        return this.calls.get(id);
    }

    /** Records that an endpoint has sent its whole answer to a call. */
    recordAnswer(id: string, now: Milliseconds): void {
        const call = this.calls.get(id);
        if (call !== undefined) {
            call.answeredAt = now;
        }
    }

    /** Records that an endpoint starts to execute a call. */
    recordExecution(id: string, now: Milliseconds): void {
        const call = this.calls.get(id);
        if (call === undefined) {
            this.findings.add("unknown call", id);
            return;
        }
        call.executions++;
        call.executedAt = now;
        const isAtMostOnce = call.kind === "once" || call.kind === "stream";
        if (isAtMostOnce && call.executions > 1) {
            this.findings.add("at most once", `${id} (${call.kind}) was executed ${call.executions} times`);
        }
        if (isAtMostOnce && call.wasRefused) {
            this.findings.add(
                "refused calls are never executed",
                `${id} (${call.kind}) is executed after it was refused`,
            );
        }
        const withdrawnAt = this.withdrawnAt.get(call.key) ?? Infinity;
        if (call.sentAt > withdrawnAt + maximumKeyWithdrawalTime) {
            const delay = Math.round(call.sentAt - withdrawnAt);
            this.findings.add(
                "withdrawn keys are refused",
                `${id} is executed, sent ${delay} ms after the acknowledgement`,
            );
        }
    }

    /** Records a response that states that the call was not executed and never will be. */
    recordRefusal(id: string): void {
        const call = this.calls.get(id);
        if (call === undefined) {
            return;
        }
        call.wasRefused = true;
        if (call.executions > 0 && (call.kind === "once" || call.kind === "stream")) {
            this.findings.add(
                "refused calls are never executed",
                `${id} (${call.kind}) was executed before it was refused`,
            );
        }
    }
}
