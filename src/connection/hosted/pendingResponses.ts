import type { Milliseconds } from "../../util/clock.js";

/** Requests of one kind on a link whose responses are matched by number. */
export class PendingResponses<Response> {
    private nextNumber = 1;
    private readonly resolvers = new Map<number, (response: Response | undefined) => void>();

    /** @param timeout Time within which the other side must respond. */
    constructor(private readonly timeout: Milliseconds) {}

    /**
     * Sends a request and waits for its response.
     *
     * @param send Sends the request with the given number.
     * @returns Undefined if there is no response in time, or if the link ends before.
     */
    async request(send: (number: number) => void): Promise<Response | undefined> {
        const number = this.nextNumber++;
        const response = new Promise<Response | undefined>(resolve => {
            this.resolvers.set(number, resolve);
        });
        const timer = setTimeout(() => {
            this.resolve(number, undefined);
        }, this.timeout);
        send(number);
        const received = await response;
        clearTimeout(timer);
        this.resolvers.delete(number);
        return received;
    }

    /** Passes a response on to the request with its number, if that still waits. */
    resolve(number: number, response: Response | undefined): void {
        this.resolvers.get(number)?.(response);
    }

    /** Ends all requests without a response. */
    abandon(): void {
        this.resolvers.forEach(resolve => {
            resolve(undefined);
        });
    }
}
