import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";

/** Sent with each call to the platform, which uses it to reject calls of former leaders. */
export interface FencingToken {
    /** Term of the leader; it increases monotonically, and no two leaders share one. */
    readonly fencingNumber: number;
}

/** A committed command: its position and the outcome of applying it. */
export interface CommittedCommand<Outcome> {
    /** Position in the log, from 1, without gaps. */
    readonly position: number;
    readonly outcome: Outcome;
}

/** The deterministic state machine to which every control process applies the commands of the log. */
export abstract class StateMachine<Command, Outcome> {
    /** Applies the command at a position; must be deterministic: equal logs give equal states and outcomes. */
    abstract apply(command: Command, position: number): Outcome;

    /** Serializes the whole state; equal states give equal bytes. */
    abstract snapshot(): Uint8Array;

    /** Replaces the state with that of a snapshot. */
    abstract restore(snapshot: Uint8Array): void;
}

/** The interface of a replicated log to its clients within the process. */
export abstract class CommandLog<Command, Outcome> {
    /**
     * Appends a command; resolves once it is committed and applied to the state machine of this process.
     *
     * Fails with `notLeader`, `quorumUnavailable`, `proposalQueueFull` or `commandTooLarge`; after `quorumUnavailable`
     * the command may still be committed later.
     */
    abstract propose(command: Command, signal?: AbortSignal): Promise<Result<CommittedCommand<Outcome>, Failure>>;

    /**
     * Obtains a read index by confirming the leader's role with a quorum (Raft dissertation §6.4).
     *
     * @returns A position; a state that has applied it contains everything that was committed before the call.
     */
    abstract confirmPosition(signal?: AbortSignal): Promise<Result<number, Failure>>;

    /**
     * The fencing token, if this process holds the lease for at least `callDuration` milliseconds after `now`.
     *
     * The caller must start the call in the same turn of the event loop, and the call must end within `callDuration`.
     */
    abstract lease(now: Milliseconds, callDuration: Milliseconds): FencingToken | undefined;

    /** Address of the leader's operator interface; undefined when the leader is not known. */
    abstract leaderAddress(): string | undefined;

    /** The term in which this process is the leader; undefined while it is not. */
    abstract leadingTerm(): number | undefined;

    /** Waits until this process has applied a position; resolves to false if the signal aborts first. */
    abstract waitForPosition(position: number, signal?: AbortSignal): Promise<boolean>;
}
