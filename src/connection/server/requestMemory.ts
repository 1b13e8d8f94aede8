import type { IncomingMessage } from "node:http";

/** Estimated memory of a request apart from its headers and its body, in bytes. */
const requestBytes = 16 * 1024;

/** Estimated memory of a header line, in bytes. */
const headerLineBytes = 256;

/** Fraction of the free memory that one reservation may take, so that large requests leave room for small ones. */
const maximumReservationFraction = 1 / 4;

const reservations = new WeakMap<IncomingMessage, RequestReservation>();

/** Budget for the memory of the requests that are under way. */
export class RequestMemory {
    private reservedBytes = 0;

    /** @param capacity Size of the budget, in bytes; larger than that of the largest request by a factor of 4 at least. */
    constructor(private readonly capacity: () => number) {}

    /** Reserved memory, in bytes. */
    get used(): number {
        return this.reservedBytes;
    }

    /** Reserves memory for the headers of a request; undefined if there is too little. */
    reserve(request: IncomingMessage): RequestReservation | undefined {
        const reservation = new RequestReservation(this);
        if (!reservation.grow(requestBytes + request.rawHeaders.length / 2 * headerLineBytes)) {
            return undefined;
        }
        reservations.set(request, reservation);
        return reservation;
    }

    /** Takes memory from the budget; false if that is more than a fraction of what is free. */
    take(bytes: number): boolean {
        if (bytes > (this.capacity() - this.reservedBytes) * maximumReservationFraction) {
            return false;
        }
        this.reservedBytes += bytes;
        return true;
    }

    /** Returns memory to the budget. */
    release(bytes: number): void {
        this.reservedBytes -= bytes;
    }
}

/** Memory that is reserved for one request. */
export class RequestReservation implements Disposable {
    private bytes = 0;

    constructor(private readonly memory: RequestMemory) {}

    /** Reserves further memory; false if there is too little. */
    grow(bytes: number): boolean {
        const isTaken = this.memory.take(bytes);
        this.bytes += isTaken ? bytes : 0;
        return isTaken;
    }

    [Symbol.dispose](): void {
        this.memory.release(this.bytes);
        this.bytes = 0;
    }
}

/**
 * Reserves further memory for a request, for its body or its response, until its response has been sent.
 *
 * @returns False if there is too little; always true for requests of servers without a budget.
 */
export function reserveMemory(request: IncomingMessage, bytes: number): boolean {
    return reservations.get(request)?.grow(bytes) ?? true;
}
