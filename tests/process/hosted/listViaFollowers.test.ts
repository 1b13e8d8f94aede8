import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { linkProtocolVersion } from "../../../src/connection/hosted/linkMessages.js";
import type { ControlMessage } from "../../../src/connection/hosted/linkMessages.js";
import { ReceivedEndpoints } from "../../../src/connection/hosted/receivedEndpoints.js";
import { MessageConnection } from "../../../src/connection/messageConnection.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { describe, itSerially } from "../../describe.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Number of heartbeats that an entry sends to a control process while it waits for an endpoint to leave. */
const maximumHeartbeats = 60;

/** An entry that is linked to one control process only. */
class SingleLink implements Disposable {
    readonly endpoints = new ReceivedEndpoints();
    /** Age of the list by the newest response, in milliseconds. */
    listAge: number | undefined;
    private readonly connection: MessageConnection;
    private heartbeats = 0;

    constructor(host: string, port: number) {
        this.connection = new MessageConnection(connect({ host, port }));
        this.connection.send({
            kind: "hello",
            protocol: linkProtocolVersion,
            entry: "single",
            incarnation: "1",
            failureDomain: "north",
            callerAddress: "127.0.0.1:1",
            version: 0,
            understandsEndpointChanges: true,
        });
        void this.receive();
    }

    /** Sends a heartbeat and waits a little. */
    async beat(): Promise<void> {
        this.connection.send({
            kind: "beat",
            number: ++this.heartbeats,
            unixTime: 0,
            version: 0,
            isReady: false,
            interval: 400,
            wantsPermit: false,
            work: {},
        });
        await sleep(100);
    }

    [Symbol.dispose](): void {
        this.connection[Symbol.dispose]();
    }

    private async receive(): Promise<void> {
        for await (const received of this.connection.messages()) {
            const message = received as ControlMessage;
            if (message.kind === "endpoints" || message.kind === "endpointChanges") {
                this.endpoints.apply(message);
            }
            else if (message.kind === "beatAnswer") {
                this.listAge = message.endpointList?.age;
            }
        }
    }
}

describe("entry that is linked to a control process that does not read the list of endpoints", () => {
    // Guards against entries that keep an old list while the control process that reads it does not respond (DRAIN).
    itSerially("learns that an endpoint leaves, and how old the list is", async t => {
        await using store = new DisposableStore();
        let state = "ready";
        const installation = store.add(
            await HostedInstallation.start(89, () => undefined, 1, () => [
                { identifier: "i-leaving", service: "desk", address: "127.0.0.1:9", zone: "north", slots: 4, state },
            ]),
        );
        const leader = await installation.findLeader();
        const port = installation.firstInternalPort + 1;
        const links = [1, 2, 3].filter(index => index !== leader).map(index =>
            store.add(new SingleLink(`127.0.89.${index}`, port))
        );
        const isLeaving = ({ endpoints }: SingleLink): boolean | undefined =>
            endpoints.records.find(({ id }) => id === "i-leaving")?.isLeaving;
        for (const expected of [false, true]) {
            state = expected ? "draining" : "ready";
            for (let beat = 0; beat < maximumHeartbeats && !links.every(link => isLeaving(link) === expected); beat++) {
                await Promise.all(links.map(link => link.beat()));
            }
            t.deepEqual(links.map(isLeaving), [expected, expected]);
        }
        const ages: number[] = [];
        for (let beat = 0; beat < maximumHeartbeats; beat++) {
            await Promise.all(links.map(link => link.beat()));
            ages.push(...links.map(({ listAge }) => listAge ?? Infinity));
        }
        t.true(Math.min(...ages.slice(-links.length * 10)) < 1_500, `the list is still read: ${ages.join()}`);
    });
});
