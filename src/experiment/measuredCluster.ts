import { OperatorClient } from "../operator/operatorClient.js";
import type { OperatorCall } from "../operator/operatorClient.js";
import type { Cluster, ClusterProcess } from "../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { keyDigest } from "../util/keyDigest.js";

/** Name of the cluster that the quickstart's settings give. */
export const measuredClusterName = "quickstart";

/** Pause between two looks at a state that is waited for, in milliseconds. */
const pollPause: Milliseconds = 50;

/** Status of an answer that says that some entry may still serve with an older version. */
const waitTimedOutStatus = 504;

/** Parses the JSON of an answer, which comes from a program of this package. */
function parse(body: Buffer): Readonly<Record<string, unknown>> {
    return JSON.parse(body.toString("utf8")) as Readonly<Record<string, unknown>>;
}

/** A cluster of real programs that is measured, as its operator sees it. */
export class MeasuredCluster {
    private leaderIndex = 0;
    private manifestNumber = 0;

    constructor(readonly cluster: Cluster, private readonly clock: Clock) {}

    /** Finds the control process that leads; later calls go to it first. */
    async findLeader(): Promise<ClusterProcess> {
        for (;;) {
            const { control } = await this.call({ method: "GET", path: "/v1/status" });
            const index = this.cluster.controls.findIndex(member => member.name === control);
            const found = this.cluster.controls[index];
            if (found !== undefined) {
                this.leaderIndex = index;
                return found;
            }
            await this.clock.sleep(pollPause);
        }
    }

    /** Submits a manifest made for the next number; resolves with its version. */
    async submit(create: (number: number) => object): Promise<number> {
        this.manifestNumber += 1;
        const body = JSON.stringify(create(this.manifestNumber));
        const accepted = await this.call({ method: "PUT", path: "/v1/manifest", body });
        return Number(accepted["version"]);
    }

    /** Issues a key to a team; resolves with the version. */
    async issueKey(team: string, name: string, text: string): Promise<number> {
        const body = JSON.stringify({ team, name, digest: keyDigest(text) });
        return Number((await this.call({ method: "POST", path: "/v1/keys/issue", body }))["version"]);
    }

    /** Withdraws a key; resolves with the version. */
    async withdrawKey(text: string): Promise<number> {
        const body = JSON.stringify({ digest: keyDigest(text) });
        return Number((await this.call({ method: "POST", path: "/v1/keys/withdraw", body }))["version"]);
    }

    /** Waits until no entry can serve with an older version, as `apply --wait` does. */
    async waitInForce(version: number): Promise<void> {
        const call = { method: "GET", path: `/v1/in-force?version=${version}` };
        while (await this.statusOf(call) === waitTimedOutStatus) {
            await this.clock.sleep(pollPause);
        }
    }

    private async statusOf(call: OperatorCall): Promise<number> {
        return (await this.client().call(call)).unwrap().status;
    }

    private async call(call: OperatorCall): Promise<Readonly<Record<string, unknown>>> {
        const { status, body } = (await this.client().call(call)).unwrap();
        if (status !== 200) {
            throw new Error(`${call.method} ${call.path} was answered with ${status}: ${body.toString("utf8")}`);
        }
        return parse(body);
    }

    private client(): OperatorClient {
        const { operatorAddresses, operatorToken } = this.cluster;
        const ordered = [...operatorAddresses.slice(this.leaderIndex), ...operatorAddresses.slice(0, this.leaderIndex)];
        return new OperatorClient(ordered, operatorToken, this.clock);
    }
}
