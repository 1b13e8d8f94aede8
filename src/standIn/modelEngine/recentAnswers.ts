/** The newest answer, or chunk of an answer, of each request of an engine; crossed answers are made of it. */
export class RecentAnswers<T> {
    private readonly answers = new Map<string, T>();

    /** @param limit Number of requests that are kept. */
    constructor(private readonly limit: number) {}

    /** Notes the newest answer of a request. */
    note(requestId: string, answer: T): void {
        this.answers.delete(requestId);
        this.answers.set(requestId, answer);
        const [oldest] = this.answers.keys();
        if (this.answers.size > this.limit && oldest !== undefined) {
            this.answers.delete(oldest);
        }
    }

    /** The newest answer of any other request. */
    ofAnother(requestId: string): T | undefined {
        let found: T | undefined;
        for (const [id, answer] of this.answers) {
            found = id === requestId ? found : answer;
        }
        return found;
    }
}
