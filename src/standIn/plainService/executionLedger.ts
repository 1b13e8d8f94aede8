import type { UnixMilliseconds } from "../../util/clock.js";

/** One execution of a request by a plain service. */
export interface Execution {
    /** Position among all executions, from 1. */
    readonly number: number;
    readonly requestId: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly method: string;
    /** Path with query. */
    readonly target: string;
    readonly startedAt: UnixMilliseconds;
}

/** Every execution of a plain service, counted by request id and by idempotency key. */
export class ExecutionLedger {
    private readonly executions: Execution[] = [];
    private readonly byRequestId = new Map<string, number>();
    private readonly byIdempotencyKey = new Map<string, number>();

    /** Notes that an execution has begun. */
    add(execution: Omit<Execution, "number">): Execution {
        const numbered = { ...execution, number: this.executions.length + 1 };
        this.executions.push(numbered);
        countUp(this.byRequestId, execution.requestId);
        countUp(this.byIdempotencyKey, execution.idempotencyKey);
        return numbered;
    }

    /** All executions in order. */
    get all(): readonly Execution[] {
        return this.executions;
    }

    /** How often requests with an id were executed. */
    countOfRequest(requestId: string): number {
        return this.byRequestId.get(requestId) ?? 0;
    }

    /** How often requests with an idempotency key were executed. */
    countOfKey(idempotencyKey: string): number {
        return this.byIdempotencyKey.get(idempotencyKey) ?? 0;
    }

    /** The request ids and idempotency keys that were executed more than once. */
    repeated(): { readonly requestIds: readonly string[]; readonly idempotencyKeys: readonly string[]; } {
        return { requestIds: aboveOne(this.byRequestId), idempotencyKeys: aboveOne(this.byIdempotencyKey) };
    }
}

function countUp(counts: Map<string, number>, name: string | undefined): void {
    if (name !== undefined) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
}

function aboveOne(counts: ReadonlyMap<string, number>): readonly string[] {
    return [...counts].filter(([, count]) => count > 1).map(([name]) => name);
}
