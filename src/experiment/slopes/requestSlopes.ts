import { Agent, request as httpRequest } from "node:http";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { MeasuredCluster } from "../measuredCluster.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest, syntheticKey, syntheticModelName } from "./syntheticManifest.js";
import { measureUsage } from "./usageMeasurement.js";

/** Numbers of output tokens for each response. */
const responseTokenCounts = [1, 50, 200, 400];

/** Total output tokens of one measurement, within the bounds on the number of requests. */
const tokensPerMeasurement = 20_000;

/** Minimum and maximum number of requests in one measurement. */
const minimumRequests = 200;
const maximumRequests = 1500;

/** Total number of concurrent requests. */
const concurrency = 96;

const engineCount = 6;
const warmUpRequests = 500;

/** Options of fast engines, so that the engines do not limit the measurement of the entry. */
const engineOptions = {
    models: [syntheticModelName(0)],
    maximumRunning: 64,
    stepMilliseconds: 10,
    stepMillisecondsPerRequest: 0,
    prefillMillisecondsPerToken: 0,
};

/** Resource usage of an entry for requests with responses of one length. */
export interface RequestCost {
    /** Output tokens of each response. */
    readonly tokens: number;
    readonly requests: number;
    /** Requests that failed or received a status other than 200. */
    readonly failed: number;
    /** Processor time for each request, in milliseconds. */
    readonly millisecondsPerRequest: number;
    /** Processor time of the entry as a fraction of one core. */
    readonly cores: number;
    /** Resident memory in megabytes (10^6 bytes). */
    readonly residentMegabytes: number;
}

/** Resource usage of the request path. */
export interface RequestSlopes {
    readonly costs: readonly RequestCost[];
    /** Processor time of one request in milliseconds, by the output tokens of its response. */
    readonly millisecondsPerToken: LinearFit;
}

/** Measures the processor time of one real entry in front of stand-in engines. */
export async function measureRequestSlopes(clock: Clock): Promise<RequestSlopes> {
    await using cluster = new Cluster(1);
    await cluster.start();
    const names = [...Array(engineCount).keys()].map(index => `engine-${index}`);
    const endpointAddresses = await Promise.all(
        names.map(name => cluster.startStandIn("engine", name, engineOptions)),
    );
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 1000, pools: 1, endpoints: engineCount, endpointAddresses };
    await measured.waitInForce(await measured.submitManifest(number => createSyntheticManifest({ number, ...shape })));
    await sendRequests(cluster, warmUpRequests, 1);
    const costs: RequestCost[] = [];
    for (const tokens of responseTokenCounts) {
        costs.push(await measureResponseLength(cluster, tokens, clock));
    }
    return {
        costs,
        millisecondsPerToken: fitMeasurements(costs, cost => cost.tokens, cost => cost.millisecondsPerRequest),
    };
}

async function measureResponseLength(cluster: Cluster, tokens: number, clock: Clock): Promise<RequestCost> {
    const requests = Math.min(maximumRequests, Math.max(minimumRequests, Math.ceil(tokensPerMeasurement / tokens)));
    let failed = 0;
    const processId = cluster.entries[0]?.startedProgram.processId ?? 0;
    const usage = await measureUsage(processId, clock, async () => {
        failed = await sendRequests(cluster, requests, tokens);
    });
    return {
        tokens,
        requests,
        failed,
        millisecondsPerRequest: (usage.cores * usage.seconds * 1000) / requests,
        cores: usage.cores,
        residentMegabytes: usage.residentMegabytes,
    };
}

/** Sends requests over keep-alive connections; resolves with the number of failed requests. */
async function sendRequests(cluster: Cluster, count: number, tokens: number): Promise<number> {
    const agent = new Agent({ keepAlive: true, maxSockets: concurrency });
    const address = cluster.entryAddresses[0] ?? "";
    let sentRequests = 0;
    let failed = 0;
    const runCaller = async (): Promise<void> => {
        while (sentRequests < count) {
            sentRequests += 1;
            failed += await sendChatRequest(agent, address, sentRequests, tokens) ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runCaller));
    agent.destroy();
    return failed;
}

function sendChatRequest(agent: Agent, address: string, requestNumber: number, tokens: number): Promise<boolean> {
    const content = `Draft reply ${requestNumber} to a parent. [answer-tokens: ${tokens}]`;
    const body = JSON.stringify({ model: syntheticModelName(0), stream: true, messages: [{ role: "user", content }] });
    return new Promise(resolve => {
        const outgoing = httpRequest({
            ...splitAddress(address),
            agent,
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                authorization: `Bearer ${syntheticKey(requestNumber % 1000)}`,
            },
        });
        outgoing.on("error", () => {
            resolve(false);
        });
        outgoing.once("response", response => {
            response.resume();
            response.once("end", () => {
                resolve(response.statusCode === 200);
            });
        });
        outgoing.end(body);
    });
}
