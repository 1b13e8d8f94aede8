import type { Milliseconds } from "../../util/clock.js";
import type { ClassQueue } from "./classQueue.js";

/** Time without service after which a waiting class is served next, in milliseconds. */
export const maximumTimeWithoutService: Milliseconds = 10_000;

/** Fraction of all served tokens that is credited to the waiting classes by weight, regardless of tier. */
const floorFraction = 0.04;

/** Maximum credit of a class, in tokens. */
const maximumCreditTokens = 20_000;

interface ClassCredit {
    creditTokens: number;
    lastServedAt: Milliseconds;
}

/**
 * Guarantees each class a minimum of service, so that lower tiers do not starve.
 *
 * The floor changes the order of service, not the selection of the requests to shed. A small fraction of the served
 * tokens is credited to the waiting classes by weight. A class is served next when its credit covers its next request,
 * or after {@link maximumTimeWithoutService} without service.
 */
export class ServiceFloor {
    private readonly credits = new Map<ClassQueue, ClassCredit>();

    /** Starts tracking a class that has a waiting request; no effect if it is tracked already. */
    trackWaiting(classQueue: ClassQueue, now: Milliseconds): void {
        if (!this.credits.has(classQueue)) {
            this.credits.set(classQueue, { creditTokens: 0, lastServedAt: now });
        }
    }

    /** Stops tracking a class. */
    remove(classQueue: ClassQueue): void {
        this.credits.delete(classQueue);
    }

    /** Charges a started request to the credit of its class and distributes the floor's fraction of its tokens. */
    recordServed(classQueue: ClassQueue, tokens: number, now: Milliseconds): void {
        const credit = this.credits.get(classQueue);
        if (credit !== undefined) {
            credit.creditTokens = Math.max(0, credit.creditTokens - tokens);
            credit.lastServedAt = now;
        }
        this.distributeCredit(tokens * floorFraction);
    }

    /** Whether a class has exactly one waiting request and the floor would serve it before those of higher tiers. */
    wouldServeNext(classQueue: ClassQueue, requestTokens: number, now: Milliseconds): boolean {
        const credit = this.credits.get(classQueue);
        return credit !== undefined && classQueue.size === 1
            && (isOverdue(credit, now) || credit.creditTokens >= requestTokens);
    }

    /** Returns the class to serve next, an overdue one first; undefined if the order of the tiers applies. */
    nextClass(now: Milliseconds, tokensOfNext: (classQueue: ClassQueue) => number): ClassQueue | undefined {
        let overdueClass: ClassQueue | undefined;
        let earliestServedAt = Infinity;
        let classWithCredit: ClassQueue | undefined;
        for (const [classQueue, credit] of this.credits) {
            if (classQueue.size === 0) {
                continue;
            }
            if (isOverdue(credit, now) && credit.lastServedAt < earliestServedAt) {
                overdueClass = classQueue;
                earliestServedAt = credit.lastServedAt;
            }
            if (
                classWithCredit === undefined && credit.creditTokens > 0
                && credit.creditTokens >= tokensOfNext(classQueue)
            ) {
                classWithCredit = classQueue;
            }
        }
        return overdueClass ?? classWithCredit;
    }

    private distributeCredit(tokens: number): void {
        let totalWeight = 0;
        for (const classQueue of this.credits.keys()) {
            totalWeight += classQueue.size === 0 ? 0 : classQueue.weight;
        }
        for (const [classQueue, credit] of this.credits) {
            if (classQueue.size === 0) {
                continue;
            }
            credit.creditTokens = Math.min(
                maximumCreditTokens,
                credit.creditTokens + (tokens * classQueue.weight) / totalWeight,
            );
        }
    }
}

function isOverdue(credit: ClassCredit, now: Milliseconds): boolean {
    return now - credit.lastServedAt >= maximumTimeWithoutService;
}
