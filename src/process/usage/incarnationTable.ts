import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { BeginIncarnation, EndIncarnation, UsageOutcomeOfCommand } from "./usageCommand.js";

/** What is known of one process start of an entry. */
export interface Incarnation {
    readonly entry: string;
    readonly incarnation: string;
    readonly startedAt: UnixMilliseconds;
    /** Sequence number of the last record counted; 0 before the first. */
    readonly through: number;
    /** When it was declared over, or undefined while it runs. */
    readonly endedAt: UnixMilliseconds | undefined;
}

/** For how long the records of an incarnation that is over still count. */
export const endedIncarnationRetention: Milliseconds = 7 * 24 * 3_600_000;

/** Most incarnations that are over and remembered; the one that ended first is forgotten first. */
export const maximumEndedIncarnations = 20_000;

/**
 * Process starts of entries and how many records of each have been counted.
 *
 * An incarnation that is forgotten can't come back: starts up to the latest forgotten one are refused.
 */
export class IncarnationTable {
    private readonly incarnations = new Map<string, Incarnation>();
    /** Incarnations that are over, in order of their end. */
    private readonly ended = new Set<string>();
    private forgottenThrough: UnixMilliseconds = -1;

    /** The incarnation with this identifier, while it is remembered. */
    find(incarnation: string): Incarnation | undefined {
        return this.incarnations.get(incarnation);
    }

    /** Every incarnation that runs as far as known. */
    running(): readonly Incarnation[] {
        return [...this.incarnations.values()].filter(incarnation => incarnation.endedAt === undefined);
    }

    /** Registers a process start; a repeat changes nothing. */
    begin(command: BeginIncarnation): UsageOutcomeOfCommand {
        this.forget(command.at);
        if (this.incarnations.has(command.incarnation)) {
            return { kind: "accepted" };
        }
        if (command.startedAt <= this.forgottenThrough) {
            return { kind: "startTooOld", after: this.forgottenThrough };
        }
        const { entry, incarnation, startedAt } = command;
        this.incarnations.set(incarnation, { entry, incarnation, startedAt, through: 0, endedAt: undefined });
        return { kind: "accepted" };
    }

    /** Marks a process start as over; a repeat changes nothing. */
    end(command: EndIncarnation): UsageOutcomeOfCommand {
        const known = this.incarnations.get(command.incarnation);
        if (known === undefined) {
            return { kind: "incarnationUnknown" };
        }
        if (known.endedAt === undefined) {
            this.incarnations.set(command.incarnation, { ...known, endedAt: command.at });
            this.ended.add(command.incarnation);
        }
        this.forget(command.at);
        return { kind: "accepted" };
    }

    /** Moves the number of the last counted record forward. */
    advance(incarnation: string, through: number): void {
        const known = this.incarnations.get(incarnation);
        if (known !== undefined && through > known.through) {
            this.incarnations.set(incarnation, { ...known, through });
        }
    }

    /** Plain data of the whole state. */
    snapshot(): IncarnationTableSnapshot {
        return {
            incarnations: [...this.incarnations.values()],
            ended: [...this.ended],
            forgottenThrough: this.forgottenThrough,
        };
    }

    /** Replaces the state by that of a snapshot. */
    restore(snapshot: IncarnationTableSnapshot): void {
        this.incarnations.clear();
        this.ended.clear();
        for (const incarnation of snapshot.incarnations) {
            this.incarnations.set(incarnation.incarnation, incarnation);
        }
        for (const incarnation of snapshot.ended) {
            this.ended.add(incarnation);
        }
        this.forgottenThrough = snapshot.forgottenThrough;
    }

    private forget(now: UnixMilliseconds): void {
        for (const incarnation of this.ended) {
            const known = this.incarnations.get(incarnation);
            const expired = (known?.endedAt ?? 0) + endedIncarnationRetention <= now;
            if (!expired && this.ended.size <= maximumEndedIncarnations) {
                return;
            }
            this.ended.delete(incarnation);
            this.incarnations.delete(incarnation);
            this.forgottenThrough = Math.max(this.forgottenThrough, known?.startedAt ?? 0);
        }
    }
}

/** Plain data of {@link IncarnationTable}. */
export interface IncarnationTableSnapshot {
    readonly incarnations: readonly Incarnation[];
    readonly ended: readonly string[];
    readonly forgottenThrough: UnixMilliseconds;
}
