import type { UnixMilliseconds } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";

/** An operation that the platform was requested to perform. */
export interface PlatformOperation {
    /** Sequence number among all operations, starting at 1. */
    readonly number: number;
    readonly kind: "order" | "weightLoad" | "usageReport";
    /** Id of the order or weight load, or the window of the usage report. */
    readonly id: string;
    /** Undefined when the sender supplied none. */
    readonly fencingNumber: number | undefined;
    /** IP address and port of the sender's end of the connection. */
    readonly sender: string;
    readonly receivedAt: UnixMilliseconds;
    readonly outcome: "acted" | "repeated" | "refused";
}

/** A log of all requested operations in order of arrival, including repeated and rejected ones. */
export class OperationLog {
    private readonly operations: PlatformOperation[] = [];

    /** All operations in order of arrival. */
    get all(): readonly PlatformOperation[] {
        return this.operations;
    }

    /** Adds an operation; the sender is taken from the connection of the call. */
    add(call: StandInCall, operation: Omit<PlatformOperation, "number" | "sender">): void {
        const socket = call.response.socket;
        const sender = `${socket?.remoteAddress ?? ""}:${socket?.remotePort ?? 0}`;
        this.operations.push({ ...operation, sender, number: this.operations.length + 1 });
    }

    /** Operations that arrived after one with a higher fencing number: their senders no longer held the lease. */
    findOutdated(): readonly PlatformOperation[] {
        let newest = 0;
        return this.operations.filter(operation => {
            const isStale = operation.fencingNumber !== undefined && operation.fencingNumber < newest;
            newest = Math.max(newest, operation.fencingNumber ?? 0);
            return isStale;
        });
    }
}
