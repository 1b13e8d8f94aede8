import { match } from "ts-pattern";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { ClaimBatch, ClaimCommand, ClaimDecision, ClaimKey, ClaimOutcome } from "./claimCommand.js";
import type { ClaimRequest, ClaimResult, StoredResponse } from "./claimCommand.js";

/** Where a claim stands. */
type ClaimState =
    | { readonly kind: "claimed"; }
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    | { readonly kind: "answerNotKept"; readonly status: number; }
    | { readonly kind: "unknown"; };

/** One claim that is remembered. */
export interface Claim extends ClaimRequest {
    readonly entry: string;
    readonly incarnation: string;
    readonly state: ClaimState;
    /** When the claim left the state "claimed", or undefined. */
    readonly settledAt: UnixMilliseconds | undefined;
}

/** Bounds of the claims section; every replica must use the same. */
export interface ClaimLimits {
    readonly maximumClaims: number;
    /** Largest body of one answer that is kept, in bytes. */
    readonly maximumResponseBytes: number;
    /** Largest sum of the bodies that are kept, in bytes. */
    readonly maximumStoredBytes: number;
    /** For how long a settled claim answers repeats. */
    readonly retention: Milliseconds;
}

/** The bounds of a cluster. */
export const defaultClaimLimits: ClaimLimits = {
    maximumClaims: 1_000_000,
    maximumResponseBytes: 16_384,
    maximumStoredBytes: 67_108_864,
    retention: 24 * 3_600_000,
};

/**
 * Section of the replicated state that lets a request run at most once.
 *
 * The first claim of a key wins; later ones learn where it stands. Time is that of the commands and never goes back.
 */
export class ClaimTable {
    private readonly claims = new Map<string, Claim>();
    /** Keys of unsettled claims. */
    private readonly unsettled = new Set<string>();
    /** Keys of settled claims in order of settlement. */
    private readonly settled = new Set<string>();
    /** Keys of claims whose answer has a body, oldest first. */
    private readonly stored = new Set<string>();
    private storedBytes = 0;
    private now: UnixMilliseconds = 0;
    /** No unsettled claim times out before this; derived from the claims. */
    private earliestTimeout: UnixMilliseconds = Infinity;

    constructor(private readonly limits: ClaimLimits = defaultClaimLimits) {}

    /** Number of claims that are remembered. */
    get size(): number {
        return this.claims.size;
    }

    /** Applies the next command of the log; `isRunning` tells whether an incarnation is registered and not over. */
    apply(command: ClaimCommand, isRunning: (incarnation: string) => boolean): ClaimOutcome {
        this.now = Math.max(this.now, command.at);
        this.expire();
        return match(command)
            .with({ kind: "claimBatch" }, batch => this.claimAll(batch, isRunning))
            .with({ kind: "claimResultBatch" }, batch => this.settleAll(batch.results))
            .with({ kind: "expireClaims" }, () => accepted)
            .with({ kind: "endIncarnation" }, end => this.endIncarnation(end.incarnation))
            .exhaustive();
    }

    /** The claim of a key, while it is remembered. */
    find(key: ClaimKey): Claim | undefined {
        return this.claims.get(claimId(key));
    }

    /** The earliest time at which a claim may end by timeout or retention, or undefined when none is remembered. */
    nextExpiry(): UnixMilliseconds | undefined {
        const [oldest] = this.settled;
        const retained = oldest === undefined ? Infinity : this.retainedUntil(this.claims.get(oldest));
        const earliest = Math.min(this.earliestTimeout, retained);
        return earliest === Infinity ? undefined : earliest;
    }

    /** Plain data of the whole state. */
    snapshot(): ClaimTableSnapshot {
        return {
            now: this.now,
            claims: [...this.claims.values()],
            unsettled: [...this.unsettled],
            settled: [...this.settled],
            stored: [...this.stored],
        };
    }

    /** Replaces the state by that of a snapshot. */
    restore(snapshot: ClaimTableSnapshot): void {
        this.now = snapshot.now;
        this.claims.clear();
        this.unsettled.clear();
        this.settled.clear();
        this.stored.clear();
        snapshot.claims.forEach(claim => this.claims.set(claimId(claim), claim));
        snapshot.unsettled.forEach(id => this.unsettled.add(id));
        snapshot.settled.forEach(id => this.settled.add(id));
        snapshot.stored.forEach(id => this.stored.add(id));
        this.earliestTimeout = snapshot.unsettled.length === 0 ? Infinity : 0;
        this.storedBytes = snapshot.claims.reduce((sum, claim) => sum + bodyLength(claim), 0);
    }

    private claimAll(batch: ClaimBatch, isRunning: (incarnation: string) => boolean): ClaimOutcome {
        const decisions = batch.claims.map(request => this.claim(request, batch, isRunning(batch.incarnation)));
        return { kind: "decided", decisions };
    }

    private claim(request: ClaimRequest, batch: ClaimBatch, running: boolean): ClaimDecision {
        const id = claimId(request);
        const earlier = this.claims.get(id);
        if (earlier !== undefined) {
            return decideRepeat(earlier, request, batch.incarnation);
        }
        if (!running) {
            return { kind: "incarnationEnded" };
        }
        if (this.claims.size >= this.limits.maximumClaims) {
            return { kind: "full" };
        }
        const { entry, incarnation } = batch;
        this.claims.set(id, { ...request, entry, incarnation, state: { kind: "claimed" }, settledAt: undefined });
        this.unsettled.add(id);
        this.earliestTimeout = Math.min(this.earliestTimeout, request.timeoutAt);
        return { kind: "granted" };
    }

    private settleAll(results: readonly ClaimResult[]): ClaimOutcome {
        for (const result of results) {
            this.settle(result);
        }
        return accepted;
    }

    private settle(result: ClaimResult): void {
        const id = claimId(result);
        const claim = this.claims.get(id);
        if (claim?.requestId !== result.requestId || isFinal(claim.state)) {
            return;
        }
        match(result.result)
            .with({ kind: "answered" }, ({ answer }) => {
                this.keep(id, claim, answer);
            })
            .with({ kind: "answeredUnkept" }, ({ status }) => {
                this.enterSettled(id, { ...claim, state: { kind: "answerNotKept", status } });
            })
            .with({ kind: "notRun" }, () => {
                this.remove(id);
            })
            .with({ kind: "unknown" }, () => {
                this.markUnknown(id, claim);
            })
            .exhaustive();
    }

    private keep(id: string, claim: Claim, answer: StoredResponse): void {
        const small = answer.body.length <= this.limits.maximumResponseBytes;
        const state: ClaimState = small
            ? { kind: "answered", answer }
            : { kind: "answerNotKept", status: answer.status };
        this.enterSettled(id, { ...claim, state });
        if (small) {
            this.stored.add(id);
            this.storedBytes += answer.body.length;
            this.dropOldestAnswers();
        }
    }

    private dropOldestAnswers(): void {
        for (const id of this.stored) {
            if (this.storedBytes <= this.limits.maximumStoredBytes) {
                return;
            }
            const claim = this.claims.get(id);
            this.stored.delete(id);
            if (claim?.state.kind === "answered") {
                this.storedBytes -= bodyLength(claim);
                this.claims.set(id, {
                    ...claim,
                    state: { kind: "answerNotKept", status: claim.state.answer.status },
                });
            }
        }
    }

    private endIncarnation(incarnation: string): ClaimOutcome {
        for (const id of this.unsettled) {
            const claim = this.claims.get(id);
            if (claim?.incarnation === incarnation) {
                this.markUnknown(id, claim);
            }
        }
        return accepted;
    }

    private markUnknown(id: string, claim: Claim): void {
        if (claim.state.kind === "claimed") {
            this.enterSettled(id, { ...claim, state: { kind: "unknown" } });
        }
    }

    private enterSettled(id: string, claim: Claim): void {
        this.claims.set(id, { ...claim, settledAt: this.now });
        this.unsettled.delete(id);
        this.settled.delete(id);
        this.settled.add(id);
    }

    private expire(): void {
        if (this.earliestTimeout <= this.now) {
            this.expireUnsettled();
        }
        for (const id of this.settled) {
            if (this.retainedUntil(this.claims.get(id)) > this.now) {
                return;
            }
            this.remove(id);
        }
    }

    private expireUnsettled(): void {
        this.earliestTimeout = Infinity;
        for (const id of this.unsettled) {
            const claim = this.claims.get(id);
            if (claim !== undefined && claim.timeoutAt <= this.now) {
                this.markUnknown(id, claim);
            }
            else {
                this.earliestTimeout = Math.min(this.earliestTimeout, claim?.timeoutAt ?? Infinity);
            }
        }
    }

    private remove(id: string): void {
        const claim = this.claims.get(id);
        this.storedBytes -= claim === undefined ? 0 : bodyLength(claim);
        this.claims.delete(id);
        this.unsettled.delete(id);
        this.settled.delete(id);
        this.stored.delete(id);
    }

    private retainedUntil(claim: Claim | undefined): UnixMilliseconds {
        return (claim?.settledAt ?? 0) + this.limits.retention;
    }
}

/** Plain data of {@link ClaimTable}. */
export interface ClaimTableSnapshot {
    readonly now: UnixMilliseconds;
    readonly claims: readonly Claim[];
    readonly unsettled: readonly string[];
    readonly settled: readonly string[];
    readonly stored: readonly string[];
}

const accepted: ClaimOutcome = { kind: "accepted" };

function claimId(key: ClaimKey): string {
    return JSON.stringify([key.team, key.idempotencyKey]);
}

function bodyLength(claim: Claim): number {
    return claim.state.kind === "answered" ? claim.state.answer.body.length : 0;
}

/** An answer never changes; an unknown outcome gives way to an answer that arrives after all. */
function isFinal(state: ClaimState): boolean {
    return state.kind === "answered" || state.kind === "answerNotKept";
}

function decideRepeat(claim: Claim, request: ClaimRequest, incarnation: string): ClaimDecision {
    if (claim.requestDigest !== request.requestDigest) {
        return { kind: "conflict" };
    }
    const sameProposal = claim.requestId === request.requestId && claim.incarnation === incarnation;
    if (claim.state.kind !== "claimed") {
        return claim.state;
    }
    if (sameProposal) {
        return { kind: "granted" };
    }
    return { kind: "claimed", entry: claim.entry, incarnation: claim.incarnation };
}
