import type { Clock, Milliseconds } from "../../util/clock.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ControlProposer } from "../state/controlProposer.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../state/controlState.js";
import type { EntryTable } from "./entryTable.js";

/** Time between two checks for due commands, in milliseconds. */
const dutyInterval: Milliseconds = 500;

/** Time from the end of a usage window until it is sealed, to accept late records, in milliseconds. */
const sealDelay: Milliseconds = 10_000;

/** Dependencies of {@link runLeaderDuties}. */
export interface LeaderDutyContext {
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly proposer: ControlProposer;
    readonly entries: EntryTable;
    readonly clock: Clock;
}

/**
 * Proposes the commands that become due with time while this process leads, until aborted.
 *
 * Ends incarnations, sets the length of usage windows, seals usage windows and expires claims.
 */
export async function runLeaderDuties(context: LeaderDutyContext, stopSignal: AbortSignal): Promise<void> {
    const duties = new LeaderDuties(context, stopSignal);
    while (!stopSignal.aborted) {
        await duties.runOnce();
        await context.clock.sleep(dutyInterval, stopSignal);
    }
}

class LeaderDuties {
    constructor(private readonly context: LeaderDutyContext, private readonly stopSignal: AbortSignal) {}

    async runOnce(): Promise<void> {
        const { commandLog, entries, clock } = this.context;
        const term = commandLog.leadingTerm();
        if (term === undefined) {
            return;
        }
        entries.enterTerm(term, clock.now());
        await this.endIncarnations();
        await this.setWindowLength();
        await this.sealWindow();
        await this.expireClaims();
    }

    /** Ends the incarnations whose permits can no longer be valid. */
    private async endIncarnations(): Promise<void> {
        const { state, entries, clock, proposer } = this.context;
        if (entries.earlierPermitsMayBeValid(clock.now())) {
            return;
        }
        const servingIncarnations = new Set(entries.all(clock.now()).map(record => record.incarnation));
        for (const { incarnation } of state.usage.incarnations.running()) {
            if (!servingIncarnations.has(incarnation)) {
                const command = { kind: "endIncarnation" as const, incarnation, at: clock.unixNow() };
                await proposer.propose("usage", command, this.stopSignal);
            }
        }
    }

    private async setWindowLength(): Promise<void> {
        const { state, clock, proposer } = this.context;
        const seconds = state.configuration.current.manifest?.billing.windowSeconds;
        if (seconds !== undefined && seconds * 1000 !== state.usage.windowLength) {
            const command = { kind: "setUsageWindow" as const, length: seconds * 1000, at: clock.unixNow() };
            await proposer.propose("usage", command, this.stopSignal);
        }
    }

    private async sealWindow(): Promise<void> {
        const { state, clock, proposer } = this.context;
        const window = state.usage.oldestOpenWindow();
        if (window !== undefined && clock.unixNow() >= window.end + sealDelay) {
            const command = { kind: "sealWindow" as const, window: window.start, at: clock.unixNow() };
            await proposer.propose("usage", command, this.stopSignal);
        }
    }

    private async expireClaims(): Promise<void> {
        const { state, clock, proposer } = this.context;
        const due = state.claims.nextExpiry();
        if (due !== undefined && due <= clock.unixNow()) {
            await proposer.propose("claims", { kind: "expireClaims", at: clock.unixNow() }, this.stopSignal);
        }
    }
}
