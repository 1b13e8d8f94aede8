import type { ClaimDecision, ClaimRequest, ClaimResult } from "../../process/claims/claimCommand.js";
import { ClaimStore } from "../../request/claims/claimStore.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { claimsPerMessage } from "../entryMessages.js";
import type { EntryToControl } from "../entryMessages.js";

/** Longest wait for the decision of a claim, in milliseconds. */
export const claimConfirmationBound: Milliseconds = 3_000;

/** Results in one message; with the largest kept answers they fit into a frame. */
const resultsPerMessage = 64;

/** Results that wait to be sent at most; the oldest are given up, and their claims end by timeout as unknown. */
const maximumResults = 20_000;

interface PendingClaim {
    readonly request: ClaimRequest;
    readonly deadline: Milliseconds;
    readonly resolve: (decided: Result<ClaimDecision, Failure>) => void;
}

interface Sent<Item> {
    readonly number: number;
    readonly items: readonly Item[];
}

/**
 * Claims over the entry's connection to the leading control process.
 *
 * One message with claims is under way at a time; those that come meanwhile go together in the next. After a
 * reconnection everything that was not confirmed is sent again, which the log recognises by the request's id.
 */
export class ControlClaimStore extends ClaimStore {
    private readonly claims = new Map<string, PendingClaim>();
    private readonly results = new Map<string, ClaimResult>();
    private sentClaims: Sent<PendingClaim> | undefined;
    private sentResults: Sent<ClaimResult> | undefined;
    private send: ((message: EntryToControl) => void) | undefined;
    private nextNumber = 1;

    /** Claims that wait for their decision. */
    get waiting(): number {
        return this.claims.size;
    }

    /** Results that are not known to be taken. */
    get unsettled(): number {
        return this.results.size;
    }

    override claim(request: ClaimRequest, now: Milliseconds): Promise<Result<ClaimDecision, Failure>> {
        return new Promise(resolve => {
            this.claims.set(request.requestId, { request, deadline: now + claimConfirmationBound, resolve });
            this.sendClaims();
        });
    }

    override settle(result: ClaimResult): void {
        this.results.set(result.requestId, result);
        const [oldest] = this.results.keys();
        if (this.results.size > maximumResults && oldest !== undefined) {
            this.results.delete(oldest);
        }
        this.sendResults();
    }

    /** Uses a new connection. */
    attach(send: (message: EntryToControl) => void): void {
        this.send = send;
        this.sentClaims = undefined;
        this.sentResults = undefined;
        this.sendClaims();
        this.sendResults();
    }

    /** Stops using the connection, which has ended. */
    detach(): void {
        this.send = undefined;
    }

    /** Takes the decisions of a message; without decisions its claims are sent again at the next sweep. */
    takeDecisions(number: number, decisions: readonly ClaimDecision[] | undefined): void {
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
            if (decision !== undefined && this.claims.get(pending.request.requestId) === pending) {
                this.claims.delete(pending.request.requestId);
                pending.resolve(Ok(decision));
            }
        }
        this.sendClaims();
    }

    /** Takes the word that the results of a message were committed, or were not. */
    takeResultsTaken(number: number, taken: boolean): void {
        const sent = this.sentResults;
        if (sent?.number !== number) {
            return;
        }
        this.sentResults = undefined;
        if (!taken) {
            return;
        }
        for (const result of sent.items) {
            if (this.results.get(result.requestId) === result) {
                this.results.delete(result.requestId);
            }
        }
        this.sendResults();
    }

    /** Fails claims that waited too long and sends again what was not confirmed. */
    sweep(now: Milliseconds): void {
        for (const pending of this.claims.values()) {
            if (now < pending.deadline) {
                break;
            }
            this.giveUp(pending);
        }
        this.sendClaims();
        this.sendResults();
    }

    /** The claim may still be committed; the result after it gives the key back. */
    private giveUp({ request, resolve }: PendingClaim): void {
        const { team, idempotencyKey, requestId } = request;
        this.claims.delete(requestId);
        this.settle({ team, idempotencyKey, requestId, result: { kind: "notRun" } });
        resolve(Err(failure("claimUnconfirmed")));
    }

    private sendClaims(): void {
        if (this.send === undefined || this.sentClaims !== undefined || this.claims.size === 0) {
            return;
        }
        const items = firstOf(this.claims, claimsPerMessage);
        const number = this.nextNumber++;
        this.sentClaims = { number, items };
        this.send({ kind: "claimBatch", number, claims: items.map(pending => pending.request) });
    }

    private sendResults(): void {
        if (this.send === undefined || this.sentResults !== undefined || this.results.size === 0) {
            return;
        }
        const items = firstOf(this.results, resultsPerMessage);
        const number = this.nextNumber++;
        this.sentResults = { number, items };
        this.send({ kind: "claimResults", number, results: items });
    }
}

function firstOf<Item>(items: ReadonlyMap<string, Item>, count: number): readonly Item[] {
    const first: Item[] = [];
    for (const item of items.values()) {
        if (first.length >= count) {
            break;
        }
        first.push(item);
    }
    return first;
}
