import { Agent, request as httpRequest } from "node:http";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { MeasuredCluster } from "../measuredCluster.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest, syntheticKey, syntheticModelName } from "./slopeManifest.js";
import { measureUsage } from "./usageSpan.js";

/** Tokens of each answer. */
const responseTokenCounts = [1, 50, 200, 400];

/** Tokens of all answers of one measurement together, as far as the bounds on requests allow. */
const tokensPerMeasurement = 20_000;

/** Requests of one measurement, at least and at most. */
const minimumRequests = 200;
const maximumRequests = 1500;

/** Requests under way at once, in all. */
const concurrency = 96;

const engineCount = 6;
const warmUpRequests = 500;

/** Fast engines, so that the entry is what is measured. */
const engineOptions = {
    models: [syntheticModelName(0)],
    maximumRunning: 64,
    stepMilliseconds: 10,
    stepMillisecondsPerRequest: 0,
    prefillMillisecondsPerToken: 0,
};

/** What requests with answers of one length cost an entry. */
export interface RequestCost {
    readonly tokens: number;
    readonly requests: number;
    /** Answers with a status other than 200. */
    readonly failed: number;
    /** Processor time for each request, in milliseconds. */
    readonly millisecondsPerRequest: number;
    /** Part of a core that the entry used. */
    readonly cores: number;
    readonly residentMegabytes: number;
}

/** Cost of the request path. */
export interface RequestSlopes {
    readonly costs: readonly RequestCost[];
    /** Processor time of one request in milliseconds, against the tokens of its answer. */
    readonly millisecondsPerToken: LinearFit;
}

/** Measures the processor time of one real entry before stand-in engines. */
export async function measureRequestSlopes(clock: Clock): Promise<RequestSlopes> {
    await using cluster = new Cluster(1);
    await cluster.start();
    const names = [...Array(engineCount).keys()].map(index => `engine-${index}`);
    const endpointAddresses = await Promise.all(
        names.map(name => cluster.startStandIn("engine", name, engineOptions)),
    );
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 1000, pools: 1, endpoints: engineCount, endpointAddresses };
    await measured.waitInForce(await measured.submit(number => createSyntheticManifest({ number, ...shape })));
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
    const processId = cluster.entries[0]?.started.processId ?? 0;
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

/** Sends requests over kept connections; resolves with the number of those that failed. */
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
