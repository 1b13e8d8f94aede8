import { ChildProgram } from "../../quickstart/childProgram.js";
import { Cluster } from "../../quickstart/cluster.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { generateKey } from "../../util/generateKey.js";
import { keyDigest } from "../../util/keyDigest.js";
import { benchModel } from "./benchClient.js";
import type { BenchPath } from "./benchClient.js";

/** Number of engines behind every path, each in its own process. */
const engineCount = 4;

/** Maximum number of requests that one engine runs concurrently. */
const concurrentRequestsPerEngine = 512;

/** Target for the total time of a request, in milliseconds; far above that of any request of the benchmark. */
const totalTimeTarget = 600_000;

/** The processes of the benchmark: engines, a pass-through proxy, and a cluster of which one entry is used. */
export class BenchSetup implements AsyncDisposable {
    /** API key of the only team. */
    readonly key = generateKey();
    private readonly disposables = new DisposableStore();
    private readonly cluster = this.disposables.add(new Cluster());

    /**
     * Starts the processes; resolves with the paths to the engines.
     *
     * @param stepMilliseconds Time between two tokens of a stream, in milliseconds.
     */
    async start(stepMilliseconds: number): Promise<readonly BenchPath[]> {
        await this.cluster.start();
        const options = {
            models: [benchModel],
            stepMilliseconds,
            stepMillisecondsPerRequest: 0,
            prefillMillisecondsPerToken: 0,
            maximumRunning: concurrentRequestsPerEngine,
        };
        const names = [...Array(engineCount).keys()].map(index => `engine-${index + 1}`);
        const engines = await Promise.all(names.map(name => this.cluster.startStandIn("engine", name, options)));
        const proxy = this.disposables.add(await ChildProgram.start("../experiment/overhead/proxyProgram", engines));
        const manifest = await this.cluster.writeFile("manifest.json", createBenchManifest(this.key, engines));
        await this.cluster.runOperatorCommand("apply", manifest, "--wait");
        return [
            { name: "direct", addresses: engines, processId: undefined },
            { name: "proxy", addresses: [proxy.startupMessage["address"] ?? ""], processId: proxy.processId },
            {
                name: "entry",
                addresses: this.cluster.entryAddresses.slice(0, 1),
                processId: this.cluster.entries[0]?.startedProgram.processId,
            },
        ];
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.disposables.dispose();
    }
}

function createBenchManifest(key: string, engines: readonly string[]): object {
    const endpoints = engines.map((address, index) => ({
        name: `engine-${index + 1}`,
        address,
        failureDomain: "hobart-a",
    }));
    const pool = { name: "engines", kind: "model", model: benchModel, endpoints };
    const route = { name: "bench", kind: "model", model: benchModel, pool: "engines", requestClass: "bench" };
    return {
        number: 1,
        teams: [{ name: "bench", keys: [{ name: "main", digest: keyDigest(key) }] }],
        classes: [{ name: "bench", tier: 0, target: { totalMilliseconds: totalTimeTarget } }],
        routes: [{ ...route, teams: "all" }],
        pools: [{ ...pool, concurrentRequestsPerEndpoint: concurrentRequestsPerEngine }],
        billing: { currency: "AUD", cutPerMillion: 0 },
    };
}
