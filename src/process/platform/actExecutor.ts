import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import { describeFailure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { Result } from "../../util/result.js";
import type { ActLedger, RecordedAct } from "./actLedger.js";
import { callOf, pollOf, readProgress } from "./actProtocol.js";
import type { ActProgress, PlatformAddresses } from "./actProtocol.js";
import type { LeasedCaller } from "./leasedCaller.js";
import type { ActAnswer, PlatformAct, PlatformCommand } from "./platformCommand.js";
import { retryPause } from "./platformSettings.js";
import type { PlatformSettings } from "./platformSettings.js";

/** Proposes commands for one section of the replicated state; fails as `CommandLog.propose` does. */
export interface CommandSink<Command> {
    readonly propose: (command: Command, signal?: AbortSignal) => Promise<Result<unknown, Failure>>;
}

/** Dependencies shared by the tasks that call the platform. */
export interface PlatformTools {
    readonly caller: LeasedCaller;
    readonly addresses: PlatformAddresses;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly settings: PlatformSettings;
}

/** Retry state of an act between two attempts. */
interface Attempt {
    /** Number of consecutive failed attempts. */
    readonly count: number;
    /** Earliest time of the next attempt, on the monotonic clock. */
    readonly notBefore: Milliseconds;
    /** Whether the other side reported that the act is in progress; it is then polled instead of sent. */
    readonly running: boolean;
}

const firstAttempt: Attempt = { count: 0, notBefore: 0, running: false };

/** Name of the queue of an act; queues are processed independently of each other. */
export function laneOf(act: PlatformAct): string {
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
    private readonly lanes = new Map<string, Promise<void>>();
    private readonly attempts = new Map<string, Attempt>();

    constructor(
        private readonly ledger: Pick<ActLedger, "openActs" | "find">,
        private readonly log: CommandSink<PlatformCommand>,
        private readonly tools: PlatformTools,
    ) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.startLanes(signal);
            await this.tools.clock.sleep(this.tools.settings.lookInterval, signal);
        }
        await Promise.all(this.lanes.values());
        this.attempts.clear();
    }

    private startLanes(signal: AbortSignal): void {
        const names = new Set(this.ledger.openActs().map(({ act }) => laneOf(act)));
        for (const name of names) {
            if (!this.lanes.has(name)) {
                this.lanes.set(name, this.runLane(name, signal).finally(() => this.lanes.delete(name)));
            }
        }
    }

    private async runLane(name: string, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const waiting = this.ledger.openActs().filter(({ act }) => laneOf(act) === name);
            if (waiting.length === 0) {
                return;
            }
            const now = this.tools.clock.now();
            const due = mostUrgent(waiting.filter(({ actId }) => this.attemptOf(actId).notBefore <= now));
            if (due === undefined) {
                const next = Math.min(...waiting.map(({ actId }) => this.attemptOf(actId).notBefore));
                const pause = Math.min(next - now, this.tools.settings.lookInterval);
                await this.tools.clock.sleep(Math.max(1, pause), signal);
                continue;
            }
            await this.attempt(due, name, signal);
        }
    }

    private async attempt(recorded: RecordedAct, lane: string, signal: AbortSignal): Promise<void> {
        const before = this.attemptOf(recorded.actId);
        const makeCall = before.running ? pollOf : callOf;
        const call = makeCall(recorded, this.tools.addresses);
        const answer = await this.tools.caller.call(call, signal);
        const progress: ActProgress = answer.ok
            ? readProgress(recorded, call, answer.val)
            : { kind: "repeat", failure: answer.val, after: undefined };
        await match(progress)
            .with({ kind: "answered" }, ({ answer: given }) => this.record(recorded, lane, given, signal))
            .with({ kind: "running" }, () => {
                this.postpone(recorded.actId, { count: 0, running: true }, this.tools.settings.pollInterval);
            })
            .with({ kind: "repeat" }, ({ failure, after }) => {
                this.repeatLater(recorded, lane, describeFailure(failure), after);
            })
            .exhaustive();
    }

    private async record(recorded: RecordedAct, lane: string, answer: ActAnswer, signal: AbortSignal): Promise<void> {
        const { actId, act } = recorded;
        const at = this.tools.clock.unixNow();
        const proposed = await this.log.propose({ kind: "answerAct", actId, answer, at }, signal);
        if (proposed.err) {
            this.repeatLater(recorded, lane, describeFailure(proposed.val), undefined);
            return;
        }
        this.attempts.delete(actId);
        const detail = match(answer)
            .with({ kind: "granted" }, ({ granted, unavailable }) => `${granted.length} granted, ${unavailable} not`)
            .with({ kind: "failed" }, ({ reason }) => reason)
            .otherwise(() => "");
        this.tools.events.write("actAnswered", { actId, kind: act.kind, target: lane, result: answer.kind, detail });
    }

    private repeatLater(recorded: RecordedAct, lane: string, reason: string, after: Milliseconds | undefined): void {
        const { actId, act } = recorded;
        const count = this.attemptOf(actId).count + 1;
        const pause = after ?? retryPause(count, this.tools.random.float(), this.tools.settings);
        this.postpone(actId, { count, running: false }, pause);
        if (after !== undefined) {
            this.postponeLane(lane, pause);
        }
        this.tools.events.write("actRetried", { actId, kind: act.kind, target: lane, attempt: count, reason });
    }

    private postpone(actId: string, attempt: Omit<Attempt, "notBefore">, pause: Milliseconds): void {
        this.attempts.set(actId, { ...attempt, notBefore: this.tools.clock.now() + pause });
    }

    /** Postpones every act of a queue that is not in progress, because the other side limits the request rate. */
    private postponeLane(lane: string, pause: Milliseconds): void {
        const notBefore = this.tools.clock.now() + pause;
        for (const { actId, act } of this.ledger.openActs()) {
            const attempt = this.attemptOf(actId);
            if (laneOf(act) === lane && !attempt.running) {
                this.attempts.set(actId, { ...attempt, notBefore: Math.max(notBefore, attempt.notBefore) });
            }
        }
    }

    private attemptOf(actId: string): Attempt {
        return this.attempts.get(actId) ?? firstAttempt;
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
