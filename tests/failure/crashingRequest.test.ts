import { createServer } from "node:http";
import type { Server } from "node:http";
import { httpCall } from "../../src/connection/httpCall.js";
import { Cluster } from "../../src/quickstart/cluster.js";
import { DisposableStore } from "../../src/util/disposableStore.js";
import { generateKey } from "../../src/util/generateKey.js";
import { boundAddress, listen } from "../../src/util/socketAddress.js";
import { describe, it } from "../describe.js";
import { createManifestText, submitManifest, waitUntilInForce } from "./testedCluster.js";

/** Crash after which engines are owed protection. */
const decisiveCrash = 3;

/** Repeats of the request that may still reach engines after that. */
const acceptedRepeats = 3;

/** Time after which an engine that crashed is back, in milliseconds. */
const restartTime = 50;

/** What the engines report of their load. */
const loadReport = { reportedAt: 0, runningRequests: 0, maximumRunningRequests: 8, model: "drafting" };

/** Starts an engine that ends when it receives a request with a certain text, and is back shortly after. */
async function startCrashingEngine(store: DisposableStore, onCrash: () => void): Promise<string> {
    let current: Server | undefined;
    let isDisposed = false;
    const start = async (address: string): Promise<string> => {
        const server = createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                if (!Buffer.concat(chunks).includes("crash")) {
                    response.end(JSON.stringify(loadReport));
                    return;
                }
                onCrash();
                server.close();
                server.closeAllConnections();
                const restartAddress = restart;
                setTimeout(() => {
                    if (!isDisposed) {
                        void start(restartAddress);
                    }
                }, restartTime);
            });
        });
        current = server;
        await listen(server, address);
        const restart = boundAddress(server);
        return restart;
    };
    store.defer(() => {
        isDisposed = true;
        current?.close();
        current?.closeAllConnections();
    });
    return start("127.0.0.1:0");
}

describe("request that crashes engines", () => {
    // Guards against a request that its caller repeats at all entries, each of which knows only the crashes it has seen.
    it("is held back by all entries of a cluster, while other requests are not", async t => {
        await using store = new DisposableStore();
        let crashes = 0;
        const engineAddresses: string[] = [];
        for (let index = 0; index < 6; index++) {
            engineAddresses.push(await startCrashingEngine(store, () => crashes++));
        }
        await using cluster = new Cluster(6);
        await cluster.start();
        const tested = { cluster, keys: [generateKey(), generateKey()] as const, serviceAddress: "", engineAddresses };
        const serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
        const manifest = createManifestText({ ...tested, serviceAddress }, 1);
        t.is((await waitUntilInForce(tested, await submitManifest(tested, manifest))).status, 200);
        const call = async (content: string, repeat: number): Promise<string> => {
            const address = cluster.entryAddresses[repeat % cluster.entryAddresses.length] ?? "";
            const response = await httpCall({
                address,
                method: "POST",
                path: "/v1/chat/completions",
                headers: { "content-type": "application/json", "authorization": `Bearer ${tested.keys[0]}` },
                body: JSON.stringify({ model: "drafting", messages: [{ role: "user", content }] }),
                timeout: 10_000,
            });
            return response.unwrap().body.toString("utf8");
        };
        const answers: string[] = [];
        for (let repeat = 0; repeat < 24; repeat++) {
            answers.push(await call("crash", repeat));
        }
        t.true(crashes <= decisiveCrash + acceptedRepeats, `${crashes} crashes`);
        t.true(answers.at(-1)?.includes("1377"), answers.at(-1));
        const other = await call("sound", 0);
        t.false(other.includes("1377"), other);
    });
});
