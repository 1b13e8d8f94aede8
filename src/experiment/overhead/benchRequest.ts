import { Agent, request as httpRequest } from "node:http";
import { splitAddress } from "../../util/socketAddress.js";

/** Model that the engines of the bench serve. */
export const benchModel = "bench";

/** Marks each token in the bytes of a streamed answer. */
const tokenMark = "\"token_number\":";

/** One way to the engines: straight, through the bare proxy, or through an entry. */
export interface BenchPath {
    readonly name: "direct" | "proxy" | "entry";
    /** Addresses that take requests in turn. */
    readonly addresses: readonly string[];
    /** The process on the way; undefined where there is none. */
    readonly processId: number | undefined;
}

/** Sends streamed chat requests along one path over kept connections. */
export class BenchClient implements Disposable {
    private readonly agent = new Agent({ keepAlive: true });
    private sent = 0;

    constructor(readonly path: BenchPath, private readonly key: string) {}

    /**
     * Sends one request of a number of answer tokens.
     *
     * @param onTokens Told how many tokens came with each part of the answer.
     * @returns Resolves at the end of the answer; rejects when it is not whole.
     */
    send(answerTokens: number, onTokens?: (count: number) => void): Promise<void> {
        const number = this.sent++;
        const address = this.path.addresses[number % this.path.addresses.length] ?? "";
        const content = `request ${number} [answer-tokens: ${answerTokens}]`;
        const body = JSON.stringify({ model: benchModel, stream: true, messages: [{ role: "user", content }] });
        const headers = {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            authorization: `Bearer ${this.key}`,
        };
        const target = { ...splitAddress(address), method: "POST", path: "/v1/chat/completions" };
        return new Promise((resolve, reject) => {
            let received = 0;
            const sent = httpRequest({ ...target, agent: this.agent, headers }, response => {
                response.setEncoding("utf8");
                response.on("data", (part: string) => {
                    const count = part.split(tokenMark).length - 1;
                    received += count;
                    onTokens?.(count);
                });
                response.on("error", reject);
                response.once("end", () => {
                    const whole = response.statusCode === 200 && received === answerTokens;
                    settle(whole, `${response.statusCode ?? 0} with ${received} tokens`, resolve, reject);
                });
            });
            sent.on("error", reject);
            sent.end(body);
        });
    }

    /** Closes the kept connections. */
    [Symbol.dispose](): void {
        this.agent.destroy();
    }
}

function settle(whole: boolean, found: string, resolve: () => void, reject: (reason: Error) => void): void {
    if (whole) {
        resolve();
    }
    else {
        reject(new Error(`An answer is not whole: ${found}.`));
    }
}
