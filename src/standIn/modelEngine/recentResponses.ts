/** The latest response, or response chunk, of each recent request of an engine; used by the `crossAnswers` fault. */
export class RecentResponses<T> {
    private readonly responses = new Map<string, T>();

    /** @param limit Maximum number of requests; the oldest is dropped first. */
    constructor(private readonly limit: number) {}

    /** Stores the latest response of a request. */
    add(requestId: string, response: T): void {
        this.responses.delete(requestId);
        this.responses.set(requestId, response);
        const [oldest] = this.responses.keys();
        if (this.responses.size > this.limit && oldest !== undefined) {
            this.responses.delete(oldest);
        }
    }

    /** The most recently stored response of any other request. */
    ofOtherRequest(requestId: string): T | undefined {
        let found: T | undefined;
        for (const [id, response] of this.responses) {
            found = id === requestId ? found : response;
        }
        return found;
    }
}
