import { Agent, request as httpRequest } from "node:http";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { MeasuredCluster } from "../measuredCluster.js";
import type { LinearFit } from "./linearFit.js";
import { fitOf } from "./linearFit.js";
import { slopeKey, slopeManifest, slopeModel } from "./slopeManifest.js";
import { usageWhile } from "./usageSpan.js";

/** Tokens of each answer. */
const answerLengths = [1, 50, 200, 400];

/** Tokens of all answers of one measurement together, at least. */
const tokensPerSpan = 40_000;

/** Requests of one measurement, at least. */
const requestsPerSpan = 1000;

/** Requests under way at once, in all. */
const concurrency = 96;

const engines = 6;
const warmUpRequests = 500;

/** Fast engines, so that the entry is what is measured. */
const engineOptions = {
    models: [slopeModel(0)],
    maximumRunning: 64,
    stepMilliseconds: 20,
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
    const names = [...Array(engines).keys()].map(index => `engine-${index}`);
    const endpointAddresses = await Promise.all(
        names.map(name => cluster.startStandIn("engine", name, engineOptions)),
    );
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 1000, pools: 1, endpoints: engines, endpointAddresses };
    await measured.waitInForce(await measured.submit(number => slopeManifest({ number, ...shape })));
    await send(cluster, warmUpRequests, 1);
    const costs: RequestCost[] = [];
    for (const tokens of answerLengths) {
        costs.push(await measureLength(cluster, tokens, clock));
    }
    return {
        costs,
        millisecondsPerToken: fitOf(costs, cost => cost.tokens, cost => cost.millisecondsPerRequest),
    };
}

async function measureLength(cluster: Cluster, tokens: number, clock: Clock): Promise<RequestCost> {
    const requests = Math.max(requestsPerSpan, Math.ceil(tokensPerSpan / tokens));
    let failed = 0;
    const processId = cluster.entries[0]?.started.processId ?? 0;
    const span = await usageWhile(processId, clock, async () => {
        failed = await send(cluster, requests, tokens);
    });
    return {
        tokens,
        requests,
        failed,
        millisecondsPerRequest: (span.cores * span.seconds * 1000) / requests,
        cores: span.cores,
        residentMegabytes: span.residentMegabytes,
    };
}

/** Sends requests over kept connections; resolves with the number of those that failed. */
async function send(cluster: Cluster, count: number, tokens: number): Promise<number> {
    const agent = new Agent({ keepAlive: true, maxSockets: concurrency });
    const address = cluster.entryAddresses[0] ?? "";
    let next = 0;
    let failed = 0;
    const caller = async (): Promise<void> => {
        while (next < count) {
            next += 1;
            failed += await chat(agent, address, next, tokens) ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: concurrency }, caller));
    agent.destroy();
    return failed;
}

function chat(agent: Agent, address: string, number: number, tokens: number): Promise<boolean> {
    const content = `Draft reply ${number} to a parent. [answer-tokens: ${tokens}]`;
    const body = JSON.stringify({ model: slopeModel(0), stream: true, messages: [{ role: "user", content }] });
    return new Promise(resolve => {
        const outgoing = httpRequest({
            ...splitAddress(address),
            agent,
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                authorization: `Bearer ${slopeKey(number % 1000)}`,
            },
        });
        outgoing.on("error", () => {
            resolve(false);
        });
        outgoing.once("response", answer => {
            answer.resume();
            answer.once("end", () => {
                resolve(answer.statusCode === 200);
            });
        });
        outgoing.end(body);
    });
}
