import { httpCall } from "../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../src/connection/httpCall.js";
import { OperatorClient } from "../../src/operator/operatorClient.js";
import type { OperatorCall } from "../../src/operator/operatorClient.js";
import type { Cluster, ClusterProcess } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { SystemClock } from "../../src/util/clock.js";
import { generateKey } from "../../src/util/generateKey.js";

/** Longest time for one call, in milliseconds. */
const callTimeout = 20_000;

/** Pause between two looks at a state that is waited for, in milliseconds. */
const pollPause = 50;

/** Status of an answer that says that some entry may still serve with an older version. */
const waitTimedOutStatus = 504;

const clock = new SystemClock();

/** A cluster under test, with a plain service and two keys. */
export interface TestedCluster {
    readonly cluster: Cluster;
    readonly keys: readonly [string, string];
    readonly serviceAddress: string;
    readonly engineAddresses: readonly string[];
}

/** The answer to an operator's call. */
export interface OperatorAnswer {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
}

/** Starts the cluster with its stand-ins. */
export async function startTestedCluster(cluster: Cluster, engines: number): Promise<TestedCluster> {
    await cluster.start();
    const names = [...Array(engines).keys()].map(index => `engine-${index + 1}`);
    const engineAddresses = await Promise.all(
        names.map(name => cluster.startStandIn("engine", name, { models: ["drafting"] })),
    );
    const serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
    return { cluster, keys: [generateKey(), generateKey()], serviceAddress, engineAddresses };
}

/** The text of a manifest; equal arguments give equal contents. */
export function manifestText(tested: TestedCluster, number: number, cutPerMillion = 50_000): string {
    const manifest = createQuickstartManifest({ ...tested, number });
    return JSON.stringify({ ...manifest, billing: { currency: "AUD", cutPerMillion } });
}

/** Calls whichever control process can answer. */
export async function operate(tested: TestedCluster, call: OperatorCall): Promise<OperatorAnswer> {
    const { cluster } = tested;
    const answer = await new OperatorClient(cluster.operatorAddresses, cluster.operatorToken, clock).call(call);
    const { status, body } = answer.unwrap();
    return { status, body: JSON.parse(body.toString("utf8")) as OperatorAnswer["body"] };
}

/** Submits a manifest. */
export function submit(tested: TestedCluster, text: string): Promise<OperatorAnswer> {
    return operate(tested, { method: "PUT", path: "/v1/manifest", body: text });
}

/** Waits until no entry can serve with an older version than the accepted one. */
export async function waitInForce(tested: TestedCluster, accepted: OperatorAnswer): Promise<OperatorAnswer> {
    const call = { method: "GET", path: `/v1/in-force?version=${Number(accepted.body["version"])}` };
    let answer = await operate(tested, call);
    while (answer.status === waitTimedOutStatus) {
        answer = await operate(tested, call);
    }
    return answer;
}

/** The control process that leads. */
export async function leader(tested: TestedCluster): Promise<ClusterProcess> {
    const { cluster } = tested;
    for (;;) {
        const { body } = await operate(tested, { method: "GET", path: "/v1/status" });
        const found = cluster.controls.find(control => control.name === body["control"]);
        if (found !== undefined) {
            return found;
        }
        await clock.sleep(pollPause);
    }
}

/** Calls an entry as a caller. */
export async function callEntry(
    address: string,
    key: string,
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<HttpCallResponse> {
    const answer = await httpCall({
        address,
        method: "POST",
        path,
        headers: { "content-type": "application/json", authorization: `Bearer ${key}`, ...headers },
        body,
        timeout: callTimeout,
    });
    return answer.unwrap();
}

/** Asks an entry for a short chat; returns the status. */
export async function chatStatus(address: string, key: string): Promise<number> {
    const messages = [{ role: "user", content: "Hello [answer-tokens: 2]" }];
    const body = JSON.stringify({ model: "drafting", messages });
    return (await callEntry(address, key, "/v1/chat/completions", body)).status;
}

/** Waits until a condition holds. */
export async function until(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await clock.sleep(pollPause);
    }
}
