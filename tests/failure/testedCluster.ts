import { httpCall } from "../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../src/connection/httpCall.js";
import { OperatorClient } from "../../src/operator/operatorClient.js";
import type { OperatorCall } from "../../src/operator/operatorClient.js";
import type { Cluster, ClusterProcess } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { SystemClock } from "../../src/util/clock.js";
import { generateKey } from "../../src/util/generateKey.js";

/** Timeout of a call to an entry. */
const callTimeoutMs = 20_000;

/** Time between two polls of a condition. */
const pollIntervalMs = 50;

/** Status of a response which states that some entry may still serve with an older version. */
const waitTimedOutStatus = 504;

const clock = new SystemClock();

/** A cluster under test with a plain service, model engines and the keys of two teams. */
export interface TestedCluster {
    readonly cluster: Cluster;
    readonly keys: readonly [string, string];
    readonly serviceAddress: string;
    readonly engineAddresses: readonly string[];
}

/** Response to a call of the operator API. */
export interface OperatorResponse {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
}

/** Starts a cluster with a plain service and a number of engines as stand-ins. */
export async function startTestedCluster(cluster: Cluster, engineCount: number): Promise<TestedCluster> {
    await cluster.start();
    const names = [...Array(engineCount).keys()].map(index => `engine-${index + 1}`);
    const engineAddresses = await Promise.all(
        names.map(name => cluster.startStandIn("engine", name, { models: ["drafting"] })),
    );
    const serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
    return { cluster, keys: [generateKey(), generateKey()], serviceAddress, engineAddresses };
}

/** Creates the text of a manifest; equal arguments yield equal texts. */
export function createManifestText(tested: TestedCluster, number: number, cutPerMillion = 50_000): string {
    const manifest = createQuickstartManifest({ ...tested, number });
    return JSON.stringify({ ...manifest, billing: { currency: "AUD", cutPerMillion } });
}

/** Calls the operator API on any control process that responds. */
export async function callOperatorApi(tested: TestedCluster, call: OperatorCall): Promise<OperatorResponse> {
    const { cluster } = tested;
    const response = await new OperatorClient(cluster.operatorAddresses, cluster.operatorToken, clock).call(call);
    const { status, body } = response.unwrap();
    return { status, body: JSON.parse(body.toString("utf8")) as OperatorResponse["body"] };
}

/** Submits the text of a manifest. */
export function submitManifest(tested: TestedCluster, text: string): Promise<OperatorResponse> {
    return callOperatorApi(tested, { method: "PUT", path: "/v1/manifest", body: text });
}

/** Waits until no entry can serve with a version older than that of an accepted change. */
export async function waitUntilInForce(tested: TestedCluster, accepted: OperatorResponse): Promise<OperatorResponse> {
    const call = { method: "GET", path: `/v1/in-force?version=${Number(accepted.body["version"])}` };
    let response = await callOperatorApi(tested, call);
    while (response.status === waitTimedOutStatus) {
        response = await callOperatorApi(tested, call);
    }
    return response;
}

/** Waits until a control process of the cluster leads, and returns it. */
export async function findLeader(tested: TestedCluster): Promise<ClusterProcess> {
    const { cluster } = tested;
    for (;;) {
        const { body } = await callOperatorApi(tested, { method: "GET", path: "/v1/status" });
        const leader = cluster.controls.find(control => control.name === body["control"]);
        if (leader !== undefined) {
            return leader;
        }
        await clock.sleep(pollIntervalMs);
    }
}

/** Sends a JSON request with a team's key to an entry. */
export async function callEntry(
    address: string,
    key: string,
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<HttpCallResponse> {
    const response = await httpCall({
        address,
        method: "POST",
        path,
        headers: { "content-type": "application/json", authorization: `Bearer ${key}`, ...headers },
        body,
        timeout: callTimeoutMs,
    });
    return response.unwrap();
}

/** Sends a short chat request to an entry; returns the status. */
export async function requestChatStatus(address: string, key: string): Promise<number> {
    const messages = [{ role: "user", content: "Hello [answer-tokens: 2]" }];
    const body = JSON.stringify({ model: "drafting", messages });
    return (await callEntry(address, key, "/v1/chat/completions", body)).status;
}

/** Polls until a condition holds. */
export async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await clock.sleep(pollIntervalMs);
    }
}
