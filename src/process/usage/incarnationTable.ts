import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { BeginIncarnation, EndIncarnation, UsageCommandOutcome } from "./usageCommand.js";

/** State of one incarnation of an entry. */
export interface Incarnation {
    readonly entry: string;
    readonly incarnation: string;
    readonly startedAt: UnixMilliseconds;
    /** Sequence number of the last counted record; 0 before the first. */
    readonly through: number;
    /** When the incarnation was ended; undefined while it runs. */
    readonly endedAt: UnixMilliseconds | undefined;
}

/** How long late records of an ended incarnation are still counted, in milliseconds. */
export const endedIncarnationRetention: Milliseconds = 7 * 24 * 3_600_000;

/** Maximum number of ended incarnations that are kept; the one that ended first is removed first. */
export const maximumEndedIncarnations = 20_000;

/**
 * Incarnations of entries and the number of records of each that have been counted.
 *
 * A removed incarnation cannot be registered again, because its records would be counted twice: incarnations that started
 * no later than the latest removed one are refused.
 */
export class IncarnationTable {
    private readonly incarnations = new Map<string, Incarnation>();
    /** Ended incarnations in the order of their end. */
    private readonly ended = new Set<string>();
    /** Latest start of a removed incarnation, or -1. */
    private forgottenThrough: UnixMilliseconds = -1;

    /** Returns the incarnation with a name; undefined if it is unknown or was removed. */
    find(incarnation: string): Incarnation | undefined {
        return this.incarnations.get(incarnation);
    }

    /** Returns the incarnations that have not ended. */
    running(): readonly Incarnation[] {
        return [...this.incarnations.values()].filter(incarnation => incarnation.endedAt === undefined);
    }

    /** Registers an incarnation; idempotent. */
    begin(command: BeginIncarnation): UsageCommandOutcome {
        this.removeExpired(command.at);
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

    /** Marks an incarnation as ended; idempotent. */
    end(command: EndIncarnation): UsageCommandOutcome {
        const existing = this.incarnations.get(command.incarnation);
        if (existing === undefined) {
            return { kind: "incarnationUnknown" };
        }
        if (existing.endedAt === undefined) {
            this.incarnations.set(command.incarnation, { ...existing, endedAt: command.at });
            this.ended.add(command.incarnation);
        }
        this.removeExpired(command.at);
        return { kind: "accepted" };
    }

    /** Raises the sequence number of the last counted record. */
    advance(incarnation: string, through: number): void {
        const existing = this.incarnations.get(incarnation);
        if (existing !== undefined && through > existing.through) {
            this.incarnations.set(incarnation, { ...existing, through });
        }
    }

    /** Returns the whole state as plain data. */
    snapshot(): IncarnationTableSnapshot {
        return {
            incarnations: [...this.incarnations.values()],
            ended: [...this.ended],
            forgottenThrough: this.forgottenThrough,
        };
    }

    /** Replaces the state with a snapshot. */
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

    private removeExpired(now: UnixMilliseconds): void {
        for (const incarnation of this.ended) {
            const existing = this.incarnations.get(incarnation);
            const isExpired = (existing?.endedAt ?? 0) + endedIncarnationRetention <= now;
            if (!isExpired && this.ended.size <= maximumEndedIncarnations) {
                return;
            }
            this.ended.delete(incarnation);
            this.incarnations.delete(incarnation);
            this.forgottenThrough = Math.max(this.forgottenThrough, existing?.startedAt ?? 0);
        }
    }
}

/** Stored state of {@link IncarnationTable}. */
export interface IncarnationTableSnapshot {
    readonly incarnations: readonly Incarnation[];
    readonly ended: readonly string[];
    readonly forgottenThrough: UnixMilliseconds;
}
