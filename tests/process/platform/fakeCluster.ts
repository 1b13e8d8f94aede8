import type { CommandSink } from "../../../src/process/platform/actExecutor.js";
import type { FencingToken } from "../../../src/process/replicatedLog/commandLog.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { Err, Ok } from "../../../src/util/result.js";

/** A period in which one process leads. */
export interface Spell {
    readonly term: number;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
}

/** A log whose leaders change on a schedule, and whose commits are delayed, lost, or made although they were reported as failed. */
export class FakeLog<Command> {
    constructor(
        private readonly applyCommand: (command: Command) => unknown,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly doubtRate: number,
    ) {}

    /** Lease check of the leader of a period. */
    leaseOf(spell: Spell): (now: Milliseconds, room: Milliseconds) => FencingToken | undefined {
        return (now, room) => now + room <= spell.until ? { fencingNumber: spell.term } : undefined;
    }

    /** The log as seen by the leader of a period. */
    sinkOf(spell: Spell): CommandSink<Command> {
        return {
            propose: async command => {
                await this.clock.sleep(this.random.integer(1, 40));
                const inDoubt = this.random.float() < this.doubtRate;
                if (inDoubt && this.random.float() < 0.7) {
                    void this.commitLater(command, spell);
                }
                if (inDoubt || this.clock.now() > spell.until) {
                    return Err(failure("quorumUnavailable"));
                }
                return Ok({ position: 1, outcome: this.applyCommand(command) });
            },
        };
    }

    private async commitLater(command: Command, spell: Spell): Promise<void> {
        await this.clock.sleep(this.random.integer(1, 120));
        if (this.clock.now() <= spell.until) {
            this.applyCommand(command);
        }
    }
}

/** Successive periods without overlap. */
export function spellsOf(lengths: readonly Milliseconds[]): readonly Spell[] {
    return lengths.reduce<readonly Spell[]>((spells, length) => {
        const from = (spells.at(-1)?.until ?? 0) + 50;
        return [...spells, { term: spells.length + 1, from, until: from + length }];
    }, []);
}
