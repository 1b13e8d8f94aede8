import { CommandLog } from "../../../src/process/replicatedLog/commandLog.js";
import type { CommittedCommand, FencingToken, StateMachine } from "../../../src/process/replicatedLog/commandLog.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { Ok } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** An in-memory log of a single process, for tests of the log's clients. */
export class VolatileCommandLog<Command, Outcome> extends CommandLog<Command, Outcome> {
    private position = 0;

    constructor(private readonly stateMachine: StateMachine<Command, Outcome>) {
        super();
    }

    override propose(command: Command): Promise<Result<CommittedCommand<Outcome>, Failure>> {
        this.position++;
        const outcome = this.stateMachine.apply(command, this.position);
        return Promise.resolve(Ok({ position: this.position, outcome }));
    }

    override confirmPosition(): Promise<Result<number, Failure>> {
        return Promise.resolve(Ok(this.position));
    }

    override lease(): FencingToken | undefined {
        return { fencingNumber: 1 };
    }

    override leaderAddress(): string | undefined {
        return undefined;
    }

    override leadingTerm(): number | undefined {
        return 1;
    }

    override waitForPosition(position: number): Promise<boolean> {
        return Promise.resolve(position <= this.position);
    }
}
