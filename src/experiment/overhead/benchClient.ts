import { Agent, request as httpRequest } from "node:http";
import { splitAddress } from "../../util/socketAddress.js";

/** Name of the model that the benchmark's engines serve. */
export const benchModel = "bench";

/** Text that occurs once for each token of a streamed response. */
const tokenMarker = "\"token_number\":";

/** A path to the engines: direct, through the pass-through proxy, or through an entry. */
export interface BenchPath {
    readonly name: "direct" | "proxy" | "entry";
    /** Addresses that receive the requests in round-robin order. */
    readonly addresses: readonly string[];
    /** Process of the proxy or entry; undefined for the direct path. */
    readonly processId: number | undefined;
}

/** Sends streaming chat requests along one path over keep-alive connections. */
export class BenchClient implements Disposable {
    private readonly agent = new Agent({ keepAlive: true });
    private requestCount = 0;

    constructor(readonly path: BenchPath, private readonly key: string) {}

    /**
     * Sends one request for a number of output tokens.
     *
     * @param onTokens Called with the number of tokens in each received chunk.
     * @returns Resolves at the end of the response; rejects if the request fails or the response is incomplete.
     */
    send(answerTokens: number, onTokens?: (count: number) => void): Promise<void> {
        const requestNumber = this.requestCount++;
        const address = this.path.addresses[requestNumber % this.path.addresses.length] ?? "";
        const content = `request ${requestNumber} [answer-tokens: ${answerTokens}]`;
        const body = JSON.stringify({ model: benchModel, stream: true, messages: [{ role: "user", content }] });
        const headers = {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            authorization: `Bearer ${this.key}`,
        };
        const target = { ...splitAddress(address), method: "POST", path: "/v1/chat/completions" };
        return new Promise((resolve, reject) => {
            let receivedTokens = 0;
            const outgoing = httpRequest({ ...target, agent: this.agent, headers }, response => {
                response.setEncoding("utf8");
                response.on("data", (chunk: string) => {
                    const count = chunk.split(tokenMarker).length - 1;
                    receivedTokens += count;
                    onTokens?.(count);
                });
                response.on("error", reject);
                response.once("end", () => {
                    const isComplete = response.statusCode === 200 && receivedTokens === answerTokens;
                    settle(isComplete, `${response.statusCode ?? 0} with ${receivedTokens} tokens`, resolve, reject);
                });
            });
            outgoing.on("error", reject);
            outgoing.end(body);
        });
    }

    /** Closes the keep-alive connections. */
    [Symbol.dispose](): void {
        this.agent.destroy();
    }
}

function settle(isComplete: boolean, outcome: string, resolve: () => void, reject: (reason: Error) => void): void {
    if (isComplete) {
        resolve();
    }
    else {
        reject(new Error(`Incomplete response: ${outcome}.`));
    }
}
