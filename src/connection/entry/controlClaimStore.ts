import type { ClaimDecision, ClaimRequest, ClaimResult } from "../../process/claims/claimCommand.js";
import { ClaimStore } from "../../request/claims/claimStore.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { maximumClaimsPerMessage } from "../entryMessages.js";
import type { EntryToControl } from "../entryMessages.js";

/** Timeout for the decision on a claim, in milliseconds. */
export const claimConfirmationTimeout: Milliseconds = 3_000;

/** Maximum number of results in one message, which fit into a frame even with stored responses of the maximum size. */
const maximumResultsPerMessage = 64;

/** Maximum number of unconfirmed results; the oldest are dropped, and their claims time out with unknown outcome. */
const maximumPendingResults = 20_000;

interface PendingClaim {
    readonly request: ClaimRequest;
    readonly deadline: Milliseconds;
    readonly resolve: (decided: Result<ClaimDecision, Failure>) => void;
}

interface SentBatch<Item> {
    readonly number: number;
    readonly items: readonly Item[];
}

/**
 * A {@link ClaimStore} that uses the entry's connection to the leading control process.
 *
 * Only one message with claims is in flight at a time; claims that arrive meanwhile are batched in the next one. After a
 * reconnection, everything unconfirmed is sent again; the log detects duplicates by the ID of the request.
 */
export class ControlClaimStore extends ClaimStore {
    private readonly pendingClaims = new Map<string, PendingClaim>();
    private readonly pendingResults = new Map<string, ClaimResult>();
    private sentClaims: SentBatch<PendingClaim> | undefined;
    private sentResults: SentBatch<ClaimResult> | undefined;
    private send: ((message: EntryToControl) => void) | undefined;
    private nextMessageNumber = 1;

    /** Number of claims that wait for their decision. */
    get pendingClaimCount(): number {
        return this.pendingClaims.size;
    }

    /** Number of results that are not known to be committed. */
    get pendingResultCount(): number {
        return this.pendingResults.size;
    }

    override claim(request: ClaimRequest, now: Milliseconds): Promise<Result<ClaimDecision, Failure>> {
        return new Promise(resolve => {
            this.pendingClaims.set(request.requestId, { request, deadline: now + claimConfirmationTimeout, resolve });
            this.sendClaims();
        });
    }

    override settle(result: ClaimResult): void {
        this.pendingResults.set(result.requestId, result);
        const [oldest] = this.pendingResults.keys();
        if (this.pendingResults.size > maximumPendingResults && oldest !== undefined) {
            this.pendingResults.delete(oldest);
        }
        this.sendResults();
    }

    /** Starts to use a new connection, and sends again what is unconfirmed. */
    attach(send: (message: EntryToControl) => void): void {
        this.send = send;
        this.sentClaims = undefined;
        this.sentResults = undefined;
        this.sendClaims();
        this.sendResults();
    }

    /** Stops using the connection, which has closed. */
    detach(): void {
        this.send = undefined;
    }

    /** Applies the decisions on a batch; if there are none, its claims are sent again at the next sweep. */
    applyDecisions(number: number, decisions: readonly ClaimDecision[] | undefined): void {
        const sent = this.sentClaims;
        if (sent?.number !== number) {
            return;
        }
        this.sentClaims = undefined;
        if (decisions === undefined) {
            return;
        }
        for (const [index, pending] of sent.items.entries()) {
            const decision = decisions[index];
            if (decision !== undefined && this.pendingClaims.get(pending.request.requestId) === pending) {
                this.pendingClaims.delete(pending.request.requestId);
                pending.resolve(Ok(decision));
            }
        }
        this.sendClaims();
    }

    /** Handles the confirmation of a batch of results; if it was not committed, it is sent again at the next sweep. */
    confirmResults(number: number, taken: boolean): void {
        const sent = this.sentResults;
        if (sent?.number !== number) {
            return;
        }
        this.sentResults = undefined;
        if (!taken) {
            return;
        }
        for (const result of sent.items) {
            if (this.pendingResults.get(result.requestId) === result) {
                this.pendingResults.delete(result.requestId);
            }
        }
        this.sendResults();
    }

    /** Fails claims whose timeout has passed, and sends again what is unconfirmed. */
    sweep(now: Milliseconds): void {
        for (const pending of this.pendingClaims.values()) {
            if (now < pending.deadline) {
                break;
            }
            this.failUnconfirmed(pending);
        }
        this.sendClaims();
        this.sendResults();
    }

    /** Fails a claim. It may still be committed; the result `notRun` that follows it then releases its idempotency key. */
    private failUnconfirmed({ request, resolve }: PendingClaim): void {
        const { team, idempotencyKey, requestId } = request;
        this.pendingClaims.delete(requestId);
        this.settle({ team, idempotencyKey, requestId, result: { kind: "notRun" } });
        resolve(Err(failure("claimUnconfirmed")));
    }

    private sendClaims(): void {
        if (this.send === undefined || this.sentClaims !== undefined || this.pendingClaims.size === 0) {
            return;
        }
        const items = firstValues(this.pendingClaims, maximumClaimsPerMessage);
        const number = this.nextMessageNumber++;
        this.sentClaims = { number, items };
        this.send({ kind: "claimBatch", number, claims: items.map(pending => pending.request) });
    }

    private sendResults(): void {
        if (this.send === undefined || this.sentResults !== undefined || this.pendingResults.size === 0) {
            return;
        }
        const items = firstValues(this.pendingResults, maximumResultsPerMessage);
        const number = this.nextMessageNumber++;
        this.sentResults = { number, items };
        this.send({ kind: "claimResults", number, results: items });
    }
}

function firstValues<Item>(items: ReadonlyMap<string, Item>, count: number): readonly Item[] {
    const first: Item[] = [];
    for (const item of items.values()) {
        if (first.length >= count) {
            break;
        }
        first.push(item);
    }
    return first;
}
