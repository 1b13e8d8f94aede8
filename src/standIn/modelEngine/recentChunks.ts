/** The newest chunk of each streamed answer of an engine, from which crossed answers are made. */
export class RecentChunks {
    private readonly chunks = new Map<string, string>();

    /** @param limit Number of requests whose chunk is kept. */
    constructor(private readonly limit: number) {}

    /** Notes the newest chunk of a request. */
    note(requestId: string, event: string): void {
        this.chunks.delete(requestId);
        this.chunks.set(requestId, event);
        for (const oldest of this.chunks.keys()) {
            if (this.chunks.size <= this.limit) {
                return;
            }
            this.chunks.delete(oldest);
        }
    }

    /** The newest chunk of any other request. */
    ofAnother(requestId: string): string | undefined {
        return [...this.chunks].findLast(([id]) => id !== requestId)?.[1];
    }
}
