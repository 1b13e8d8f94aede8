import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";

/** The proof of being in charge that accompanies each act towards the platform. */
export interface FencingToken {
    /** Term of the leader; it only rises, and no two leaders share one. */
    readonly fencingNumber: number;
}

/** An accepted command: where it stands and what applying it gave. */
export interface CommittedCommand<Outcome> {
    /** Position in the log, from 1, without gaps. */
    readonly position: number;
    readonly outcome: Outcome;
}

/** The deterministic state that every control process derives from the log. */
export abstract class StateMachine<Command, Outcome> {
    /** Applies the command at a position; equal logs give equal states and outcomes. */
    abstract apply(command: Command, position: number): Outcome;

    /** The whole state as bytes; equal states give equal bytes. */
    abstract snapshot(): Uint8Array;

    /** Replaces the state by that of a snapshot. */
    abstract restore(snapshot: Uint8Array): void;
}

/** A replicated log as its users see it. */
export abstract class CommandLog<Command, Outcome> {
    /**
     * Appends a command; resolves when it is committed and applied here.
     *
     * Fails with `notLeader` or `quorumUnavailable`; after the latter the command may still be committed later.
     */
    abstract propose(command: Command, signal?: AbortSignal): Promise<Result<CommittedCommand<Outcome>, Failure>>;

    /**
     * Confirms with a quorum that no later state was committed elsewhere before this call (a read index, Raft §6.4).
     *
     * @returns A position; a state that has applied it contains all that was committed before the call.
     */
    abstract confirmPosition(signal?: AbortSignal): Promise<Result<number, Failure>>;

    /**
     * The token of the lease, if this process holds it for at least `room` more milliseconds after `now`.
     *
     * The caller must act in the same turn of the event loop, and the act must end within `room`.
     */
    abstract lease(now: Milliseconds, room: Milliseconds): FencingToken | undefined;

    /** Address of the leader's operator interface, as far as known. */
    abstract leaderAddress(): string | undefined;

    /** The term in which this process leads; undefined while it does not. */
    abstract leadingTerm(): number | undefined;

    /** Waits until the state of this process has applied a position; false when the signal came first. */
    abstract waitForPosition(position: number, signal?: AbortSignal): Promise<boolean>;
}
