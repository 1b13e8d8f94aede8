import type { CommandSink } from "../../../src/process/platform/actExecutor.js";
import type { FencingToken } from "../../../src/process/replicatedLog/commandLog.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { Err, Ok } from "../../../src/util/result.js";

/** A period in which one process leads. */
export interface LeadershipPeriod {
    readonly term: number;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
}

/** A log with scheduled changes of leader, whose commits are delayed, lost, or made but reported as failed. */
export class FakeLog<Command> {
    constructor(
        private readonly applyCommand: (command: Command) => unknown,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly uncertainRate: number,
    ) {}

    /** Lease check of the leader of a period. */
    leaseOf(period: LeadershipPeriod): (now: Milliseconds, requiredTime: Milliseconds) => FencingToken | undefined {
        return (now, requiredTime) => now + requiredTime <= period.until ? { fencingNumber: period.term } : undefined;
    }

    /** The log as seen by the leader of a period. */
    sinkOf(period: LeadershipPeriod): CommandSink<Command> {
        return {
            propose: async command => {
                await this.clock.sleep(this.random.integer(1, 40));
                const isUncertain = this.random.float() < this.uncertainRate;
                if (isUncertain && this.random.float() < 0.7) {
                    void this.commitLater(command, period);
                }
                if (isUncertain || this.clock.now() > period.until) {
                    return Err(failure("quorumUnavailable"));
                }
                return Ok({ position: 1, outcome: this.applyCommand(command) });
            },
        };
    }

    private async commitLater(command: Command, period: LeadershipPeriod): Promise<void> {
        await this.clock.sleep(this.random.integer(1, 120));
        if (this.clock.now() <= period.until) {
            this.applyCommand(command);
        }
    }
}

/** Successive periods without overlap. */
export function leadershipPeriodsOf(lengths: readonly Milliseconds[]): readonly LeadershipPeriod[] {
    return lengths.reduce<readonly LeadershipPeriod[]>((periods, length) => {
        const from = (periods.at(-1)?.until ?? 0) + 50;
        return [...periods, { term: periods.length + 1, from, until: from + length }];
    }, []);
}
