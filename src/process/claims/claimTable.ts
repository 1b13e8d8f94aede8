import { match } from "ts-pattern";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { ClaimBatch, ClaimCommand, ClaimDecision, ClaimKey, ClaimOutcome } from "./claimCommand.js";
import type { ClaimRequest, ClaimResult, StoredResponse } from "./claimCommand.js";

/** State of a claim. */
type ClaimState =
    | { readonly kind: "claimed"; }
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    | { readonly kind: "answerNotKept"; readonly status: number; }
    | { readonly kind: "unknown"; };

/** A stored claim. */
export interface Claim extends ClaimRequest {
    readonly entry: string;
    readonly incarnation: string;
    readonly state: ClaimState;
    /** Time at which the claim left the state `claimed`; undefined before. */
    readonly settledAt: UnixMilliseconds | undefined;
}

/** Limits of the claims section; they must be equal on every replica, so that all replicas decide alike. */
export interface ClaimLimits {
    readonly maximumClaims: number;
    /** Maximum size of a stored response body, in bytes. */
    readonly maximumResponseBytes: number;
    /** Maximum total size of all stored response bodies, in bytes. */
    readonly maximumStoredBytes: number;
    /** Time for which a settled claim is stored, so that repeats get its outcome. */
    readonly retention: Milliseconds;
}

/** The limits that control processes use. */
export const defaultClaimLimits: ClaimLimits = {
    maximumClaims: 1_000_000,
    maximumResponseBytes: 16_384,
    maximumStoredBytes: 67_108_864,
    retention: 24 * 3_600_000,
};

/**
 * Section of the replicated state that ensures that a request runs at most once.
 *
 * The first claim of a key is granted; later ones get the state of that claim. The clock is the largest timestamp of
 * the applied commands, so that it never runs backwards and is the same on all replicas.
 */
export class ClaimTable {
    private readonly claims = new Map<string, Claim>();
    /** Keys of unsettled claims. */
    private readonly unsettled = new Set<string>();
    /** Keys of settled claims in order of settlement. */
    private readonly settled = new Set<string>();
    /** Keys of claims with a stored response, oldest first. */
    private readonly storedResponses = new Set<string>();
    private storedBytes = 0;
    private now: UnixMilliseconds = 0;
    /** Lower bound of the timeouts of all unsettled claims; derived state that snapshots omit. */
    private earliestTimeout: UnixMilliseconds = Infinity;

    constructor(private readonly limits: ClaimLimits = defaultClaimLimits) {}

    /** Number of stored claims. */
    get size(): number {
        return this.claims.size;
    }

    /**
     * Applies the next command of the log; `isRunning` tells whether an incarnation is registered and has not ended.
     */
    apply(command: ClaimCommand, isRunning: (incarnation: string) => boolean): ClaimOutcome {
        this.now = Math.max(this.now, command.at);
        this.expire();
        return match(command)
            .with({ kind: "claimBatch" }, batch => this.applyClaims(batch, isRunning))
            .with({ kind: "claimResultBatch" }, batch => this.applyResults(batch.results))
            .with({ kind: "expireClaims" }, () => accepted)
            .with({ kind: "endIncarnation" }, end => this.endIncarnation(end.incarnation))
            .exhaustive();
    }

    /** The stored claim of a key; undefined if there is none. */
    find(key: ClaimKey): Claim | undefined {
        return this.claims.get(claimId(key));
    }

    /** Earliest time at which a claim may time out or expire; undefined if no claim can. */
    nextExpiry(): UnixMilliseconds | undefined {
        const [oldestSettled] = this.settled;
        const retainedUntil = oldestSettled === undefined
            ? Infinity
            : this.retainedUntil(this.claims.get(oldestSettled));
        const earliest = Math.min(this.earliestTimeout, retainedUntil);
        return earliest === Infinity ? undefined : earliest;
    }

    /** The complete state as plain data. */
    snapshot(): ClaimTableSnapshot {
        return {
            now: this.now,
            claims: [...this.claims.values()],
            unsettled: [...this.unsettled],
            settled: [...this.settled],
            stored: [...this.storedResponses],
        };
    }

    /** Replaces the state with a snapshot. */
    restore(snapshot: ClaimTableSnapshot): void {
        this.now = snapshot.now;
        this.claims.clear();
        this.unsettled.clear();
        this.settled.clear();
        this.storedResponses.clear();
        snapshot.claims.forEach(claim => this.claims.set(claimId(claim), claim));
        snapshot.unsettled.forEach(id => this.unsettled.add(id));
        snapshot.settled.forEach(id => this.settled.add(id));
        snapshot.stored.forEach(id => this.storedResponses.add(id));
        this.earliestTimeout = snapshot.unsettled.length === 0 ? Infinity : 0;
        this.storedBytes = snapshot.claims.reduce((sum, claim) => sum + bodyLength(claim), 0);
    }

    private applyClaims(batch: ClaimBatch, isRunning: (incarnation: string) => boolean): ClaimOutcome {
        const decisions = batch.claims.map(request => this.claim(request, batch, isRunning(batch.incarnation)));
        return { kind: "decided", decisions };
    }

    private claim(request: ClaimRequest, batch: ClaimBatch, incarnationRunning: boolean): ClaimDecision {
        const id = claimId(request);
        const existing = this.claims.get(id);
        if (existing !== undefined) {
            return decideRepeatedClaim(existing, request, batch.incarnation);
        }
        if (!incarnationRunning) {
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

    private applyResults(results: readonly ClaimResult[]): ClaimOutcome {
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
                this.storeResponse(id, claim, answer);
            })
            .with({ kind: "answeredUnkept" }, ({ status }) => {
                this.markSettled(id, { ...claim, state: { kind: "answerNotKept", status } });
            })
            .with({ kind: "notRun" }, () => {
                this.remove(id);
            })
            .with({ kind: "unknown" }, () => {
                this.markUnknown(id, claim);
            })
            .exhaustive();
    }

    private storeResponse(id: string, claim: Claim, response: StoredResponse): void {
        const fitsLimit = response.body.length <= this.limits.maximumResponseBytes;
        const state: ClaimState = fitsLimit
            ? { kind: "answered", answer: response }
            : { kind: "answerNotKept", status: response.status };
        this.markSettled(id, { ...claim, state });
        if (fitsLimit) {
            this.storedResponses.add(id);
            this.storedBytes += response.body.length;
            this.evictOldestBodies();
        }
    }

    private evictOldestBodies(): void {
        for (const id of this.storedResponses) {
            if (this.storedBytes <= this.limits.maximumStoredBytes) {
                return;
            }
            const claim = this.claims.get(id);
            this.storedResponses.delete(id);
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
            this.markSettled(id, { ...claim, state: { kind: "unknown" } });
        }
    }

    private markSettled(id: string, claim: Claim): void {
        this.claims.set(id, { ...claim, settledAt: this.now });
        this.unsettled.delete(id);
        this.settled.delete(id);
        this.settled.add(id);
    }

    private expire(): void {
        if (this.earliestTimeout <= this.now) {
            this.timeOutUnsettled();
        }
        for (const id of this.settled) {
            if (this.retainedUntil(this.claims.get(id)) > this.now) {
                return;
            }
            this.remove(id);
        }
    }

    private timeOutUnsettled(): void {
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
        this.storedResponses.delete(id);
    }

    private retainedUntil(claim: Claim | undefined): UnixMilliseconds {
        return (claim?.settledAt ?? 0) + this.limits.retention;
    }
}

/** State of {@link ClaimTable} as plain data, encoded in snapshots of the log. */
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

/** Whether the state can no longer change; a late response still replaces the state `unknown`. */
function isFinal(state: ClaimState): boolean {
    return state.kind === "answered" || state.kind === "answerNotKept";
}

function decideRepeatedClaim(claim: Claim, request: ClaimRequest, incarnation: string): ClaimDecision {
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
