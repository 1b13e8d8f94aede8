import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import { formatFailure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { Result } from "../../util/result.js";
import type { ActLedger, RecordedAct } from "./actLedger.js";
import { buildActCall, buildPollCall, readProgress } from "./actProtocol.js";
import type { ActProgress, PlatformAddresses } from "./actProtocol.js";
import type { LeasedCaller } from "./leasedCaller.js";
import type { ActAnswer, PlatformAct, PlatformCommand } from "./platformCommand.js";
import { retryDelay } from "./platformSettings.js";
import type { PlatformSettings } from "./platformSettings.js";

/** Proposes commands for one section of the replicated state; fails as `CommandLog.propose` does. */
export interface CommandSink<Command> {
    readonly propose: (command: Command, signal?: AbortSignal) => Promise<Result<unknown, Failure>>;
}

/** Dependencies shared by the tasks that call the platform. */
export interface PlatformTaskContext {
    readonly caller: LeasedCaller;
    readonly addresses: PlatformAddresses;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly settings: PlatformSettings;
}

/** Retry state of an act between two attempts. */
interface AttemptState {
    /** Number of consecutive failed attempts. */
    readonly count: number;
    /** Earliest time of the next attempt, on the monotonic clock. */
    readonly notBefore: Milliseconds;
    /** Whether the other side reported that the act is in progress; it is then polled instead of sent. */
    readonly running: boolean;
}

const initialAttemptState: AttemptState = { count: 0, notBefore: 0, running: false };

/** Name of the queue of an act; queues are processed independently of each other. */
export function queueNameOf(act: PlatformAct): string {
    return match(act)
        .with({ kind: "orderEngine" }, ({ endpoint }) => `endpoint ${endpoint}`)
        .with({ kind: "loadWeights" }, () => "weight store")
        .otherwise(({ failureDomain }) => `failure domain ${failureDomain}`);
}

/**
 * Carries out the open acts of the log while this process leads.
 *
 * Each failure domain, each endpoint and the weight store has its own queue and task, so that one that stalls does not
 * delay the others. Within a queue, the most urgent act that is due is attempted first.
 */
export class ActExecutor {
    private readonly queues = new Map<string, Promise<void>>();
    private readonly attempts = new Map<string, AttemptState>();

    constructor(
        private readonly ledger: Pick<ActLedger, "openActs" | "find">,
        private readonly log: CommandSink<PlatformCommand>,
        private readonly context: PlatformTaskContext,
    ) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.startQueues(signal);
            await this.context.clock.sleep(this.context.settings.checkInterval, signal);
        }
        await Promise.all(this.queues.values());
        this.attempts.clear();
    }

    private startQueues(signal: AbortSignal): void {
        const names = new Set(this.ledger.openActs().map(({ act }) => queueNameOf(act)));
        for (const name of names) {
            if (!this.queues.has(name)) {
                this.queues.set(name, this.runQueue(name, signal).finally(() => this.queues.delete(name)));
            }
        }
    }

    private async runQueue(name: string, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const waiting = this.ledger.openActs().filter(({ act }) => queueNameOf(act) === name);
            if (waiting.length === 0) {
                return;
            }
            const now = this.context.clock.now();
            const due = mostUrgent(waiting.filter(({ actId }) => this.attemptOf(actId).notBefore <= now));
            if (due === undefined) {
                const next = Math.min(...waiting.map(({ actId }) => this.attemptOf(actId).notBefore));
                const delay = Math.min(next - now, this.context.settings.checkInterval);
                await this.context.clock.sleep(Math.max(1, delay), signal);
                continue;
            }
            await this.attempt(due, name, signal);
        }
    }

    private async attempt(recorded: RecordedAct, queueName: string, signal: AbortSignal): Promise<void> {
        const previous = this.attemptOf(recorded.actId);
        const makeCall = previous.running ? buildPollCall : buildActCall;
        const call = makeCall(recorded, this.context.addresses);
        const response = await this.context.caller.call(call, signal);
        const progress: ActProgress = response.ok
            ? readProgress(recorded, call, response.val)
            : { kind: "repeat", failure: response.val, retryAfter: undefined };
        await match(progress)
            .with({ kind: "answered" }, ({ answer: result }) => this.record(recorded, queueName, result, signal))
            .with({ kind: "running" }, () => {
                this.postpone(recorded.actId, { count: 0, running: true }, this.context.settings.pollInterval);
            })
            .with({ kind: "repeat" }, ({ failure, retryAfter }) => {
                this.scheduleRetry(recorded, queueName, formatFailure(failure), retryAfter);
            })
            .exhaustive();
    }

    private async record(
        recorded: RecordedAct,
        queueName: string,
        answer: ActAnswer,
        signal: AbortSignal,
    ): Promise<void> {
        const { actId, act } = recorded;
        const at = this.context.clock.unixNow();
        const proposed = await this.log.propose({ kind: "answerAct", actId, answer, at }, signal);
        if (proposed.err) {
            this.scheduleRetry(recorded, queueName, formatFailure(proposed.val), undefined);
            return;
        }
        this.attempts.delete(actId);
        const detail = match(answer)
            .with({ kind: "granted" }, ({ granted, unavailable }) => `${granted.length} granted, ${unavailable} not`)
            .with({ kind: "failed" }, ({ reason }) => reason)
            .otherwise(() => "");
        this.context.events.write("actAnswered", {
            actId,
            kind: act.kind,
            target: queueName,
            result: answer.kind,
            detail,
        });
    }

    private scheduleRetry(
        recorded: RecordedAct,
        queueName: string,
        reason: string,
        requestedDelay: Milliseconds | undefined,
    ): void {
        const { actId, act } = recorded;
        const count = this.attemptOf(actId).count + 1;
        const delay = requestedDelay ?? retryDelay(count, this.context.random.float(), this.context.settings);
        this.postpone(actId, { count, running: false }, delay);
        if (requestedDelay !== undefined) {
            this.postponeQueue(queueName, delay);
        }
        this.context.events.write("actRetried", { actId, kind: act.kind, target: queueName, attempt: count, reason });
    }

    private postpone(actId: string, attempt: Omit<AttemptState, "notBefore">, delay: Milliseconds): void {
        this.attempts.set(actId, { ...attempt, notBefore: this.context.clock.now() + delay });
    }

    /** Postpones every act of a queue that is not in progress, because the other side limits the request rate. */
    private postponeQueue(queueName: string, delay: Milliseconds): void {
        const notBefore = this.context.clock.now() + delay;
        for (const { actId, act } of this.ledger.openActs()) {
            const attempt = this.attemptOf(actId);
            if (queueNameOf(act) === queueName && !attempt.running) {
                this.attempts.set(actId, { ...attempt, notBefore: Math.max(notBefore, attempt.notBefore) });
            }
        }
    }

    private attemptOf(actId: string): AttemptState {
        return this.attempts.get(actId) ?? initialAttemptState;
    }
}

/** The act with the lowest urgency number, the oldest among equals; only weight loads have a number other than 0. */
function mostUrgent(acts: readonly RecordedAct[]): RecordedAct | undefined {
    const urgencyOf = ({ act }: RecordedAct): number => act.kind === "loadWeights" ? act.urgency : 0;
    return acts.reduce<RecordedAct | undefined>(
        (best, act) => best === undefined || urgencyOf(act) < urgencyOf(best) ? act : best,
        undefined,
    );
}
