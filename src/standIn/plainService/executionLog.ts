import type { UnixMilliseconds } from "../../util/clock.js";

/** An execution of a request by a plain service. */
export interface Execution {
    /** Sequence number among all executions, starting at 1. */
    readonly number: number;
    readonly requestId: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly method: string;
    /** Path and query string. */
    readonly target: string;
    readonly startedAt: UnixMilliseconds;
}

/** A log of all executions of a plain service, with counts by request id and by idempotency key. */
export class ExecutionLog {
    private readonly executions: Execution[] = [];
    private readonly countsByRequestId = new Map<string, number>();
    private readonly countsByIdempotencyKey = new Map<string, number>();

    /** Records the start of an execution. */
    add(execution: Omit<Execution, "number">): Execution {
        const numbered = { ...execution, number: this.executions.length + 1 };
        this.executions.push(numbered);
        increment(this.countsByRequestId, execution.requestId);
        increment(this.countsByIdempotencyKey, execution.idempotencyKey);
        return numbered;
    }

    /** All executions in order of their start. */
    get all(): readonly Execution[] {
        return this.executions;
    }

    /** Number of executions with a request id. */
    countByRequestId(requestId: string): number {
        return this.countsByRequestId.get(requestId) ?? 0;
    }

    /** Number of executions with an idempotency key. */
    countByIdempotencyKey(idempotencyKey: string): number {
        return this.countsByIdempotencyKey.get(idempotencyKey) ?? 0;
    }

    /** The request ids and idempotency keys with more than one execution. */
    findRepeated(): { readonly requestIds: readonly string[]; readonly idempotencyKeys: readonly string[]; } {
        return {
            requestIds: repeatedNames(this.countsByRequestId),
            idempotencyKeys: repeatedNames(this.countsByIdempotencyKey),
        };
    }
}

function increment(counts: Map<string, number>, name: string | undefined): void {
    if (name !== undefined) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
}

function repeatedNames(counts: ReadonlyMap<string, number>): readonly string[] {
    return [...counts].filter(([, count]) => count > 1).map(([name]) => name);
}
