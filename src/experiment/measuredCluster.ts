import { OperatorClient } from "../operator/operatorClient.js";
import type { OperatorCall } from "../operator/operatorClient.js";
import type { Cluster, ClusterProcess } from "../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { keyDigest } from "../util/keyDigest.js";

/** Name of the cluster in the settings of the quickstart. */
export const measuredClusterName = "quickstart";

/** Interval between polls of a state, in milliseconds. */
const pollInterval: Milliseconds = 50;

/** HTTP status of a response that says that an entry may still serve with an older version. */
const waitTimedOutStatus = 504;

/** Parses a JSON response without validation, because it comes from a program of this package. */
function parseJson(body: Buffer): Readonly<Record<string, unknown>> {
    return JSON.parse(body.toString("utf8")) as Readonly<Record<string, unknown>>;
}

/** Operator client of a cluster of programs under measurement. */
export class MeasuredCluster {
    private leaderIndex = 0;
    private manifestNumber = 0;

    constructor(readonly cluster: Cluster, private readonly clock: Clock) {}

    /** Waits for and returns the leading control process; later calls try it first. */
    async waitForLeader(): Promise<ClusterProcess> {
        for (;;) {
            const { control } = await this.call({ method: "GET", path: "/v1/status" });
            const index = this.cluster.controls.findIndex(member => member.name === control);
            const found = this.cluster.controls[index];
            if (found !== undefined) {
                this.leaderIndex = index;
                return found;
            }
            await this.clock.sleep(pollInterval);
        }
    }

    /** Submits a manifest, created for the next manifest number; resolves with its version. */
    async submitManifest(create: (number: number) => object): Promise<number> {
        this.manifestNumber += 1;
        const body = JSON.stringify(create(this.manifestNumber));
        const response = await this.call({ method: "PUT", path: "/v1/manifest", body });
        return Number(response["version"]);
    }

    /** Issues a key to a team; resolves with the version that contains it. */
    async issueKey(team: string, name: string, text: string): Promise<number> {
        const body = JSON.stringify({ team, name, digest: keyDigest(text) });
        return Number((await this.call({ method: "POST", path: "/v1/keys/issue", body }))["version"]);
    }

    /** Withdraws a key; resolves with the version without it. */
    async withdrawKey(text: string): Promise<number> {
        const body = JSON.stringify({ digest: keyDigest(text) });
        return Number((await this.call({ method: "POST", path: "/v1/keys/withdraw", body }))["version"]);
    }

    /** Waits until no entry can serve with an older version, like `apply --wait`. */
    async waitInForce(version: number): Promise<void> {
        const call = { method: "GET", path: `/v1/in-force?version=${version}` };
        while (await this.statusOf(call) === waitTimedOutStatus) {
            await this.clock.sleep(pollInterval);
        }
    }

    private async statusOf(call: OperatorCall): Promise<number> {
        return (await this.createClient().call(call)).unwrap().status;
    }

    private async call(call: OperatorCall): Promise<Readonly<Record<string, unknown>>> {
        const { status, body } = (await this.createClient().call(call)).unwrap();
        if (status !== 200) {
            throw new Error(`${call.method} ${call.path} failed with HTTP status ${status}: ${body.toString("utf8")}`);
        }
        return parseJson(body);
    }

    private createClient(): OperatorClient {
        const { operatorAddresses, operatorToken } = this.cluster;
        const ordered = [...operatorAddresses.slice(this.leaderIndex), ...operatorAddresses.slice(0, this.leaderIndex)];
        return new OperatorClient(ordered, operatorToken, this.clock);
    }
}
