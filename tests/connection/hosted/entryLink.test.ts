import { connect, createServer } from "node:net";
import { EntryLink } from "../../../src/connection/hosted/entryLink.js";
import { linkProtocolVersion } from "../../../src/connection/hosted/linkMessages.js";
import type { ControlMessage, EntryMessage } from "../../../src/connection/hosted/linkMessages.js";
import { MessageConnection } from "../../../src/connection/messageConnection.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import type { EndpointListSnapshot } from "../../../src/process/hosted/control/endpointLists.js";
import { EntryRegistry } from "../../../src/process/hosted/control/entryRegistry.js";
import { HostedState } from "../../../src/process/hosted/control/hostedState.js";
import { QuarantineDuty } from "../../../src/process/hosted/control/quarantineDuty.js";
import { RateLimitLedger } from "../../../src/process/hosted/control/rateLimitLedger.js";
import { RetryLedger } from "../../../src/process/hosted/control/retryLedger.js";
import { compareEndpoints } from "../../../src/process/hosted/endpointChanges.js";
import type { EndpointRecord } from "../../../src/process/hosted/endpointRecord.js";
import { StreamOriginStore } from "../../../src/process/hosted/streamOriginStore.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { MedianClock } from "../../../src/util/medianClock.js";
import { listen, splitAddress } from "../../../src/util/socketAddress.js";
import { SuspensionDetector } from "../../../src/util/suspensionDetector.js";
import { describe, it } from "../../describe.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { testBounds } from "../../process/hosted/hostedBounds.js";
import { VolatileCommandLog } from "../../process/replicatedLog/volatileCommandLog.js";

const service = "drafting";
const clock = new SystemClock();
const suspensionDetector = new SuspensionDetector(clock);
const eventLog = new EventLog("test", "hidden");

const hello: EntryMessage = {
    kind: "hello",
    protocol: linkProtocolVersion,
    entry: "entry-1",
    incarnation: "1",
    failureDomain: "north",
    callerAddress: "127.0.0.1:80",
    version: 0,
    understandsHolds: true,
};

function crashOf(endpoint: string): EntryMessage {
    const calls = [{ features: ["segment:1"] }];
    return { kind: "evidence", crashes: [{ endpoint, service, age: 0, calls }], sound: [] };
}

/** A control process that may lead, and a link of an entry to it. */
class LinkedControl implements AsyncDisposable {
    isLeading = true;
    private readonly store = new DisposableStore();
    private readonly received: ControlMessage[] = [];
    private readonly links: EntryLink[] = [];
    private endpoints: EndpointListSnapshot | undefined;
    private connection: MessageConnection | undefined;
    private heartbeats = 0;
    private quarantine: QuarantineDuty | undefined;

    /** Number of features that the process suspects. */
    get suspectCount(): number {
        return this.quarantine?.suspects().length ?? 0;
    }

    /** Publishes a list of endpoints, as the poller does. */
    publishEndpoints(endpoints: readonly EndpointRecord[]): void {
        const changes = compareEndpoints(this.endpoints?.endpoints ?? [], endpoints);
        const revision = (this.endpoints?.revision ?? 0) + 1;
        this.endpoints = { endpoints, polledAt: suspensionDetector.now(), uncertainty: 0, revision, changes };
        this.links.forEach(link => {
            link.pushEndpoints();
        });
    }

    /** Waits for the next message about endpoints and returns it. */
    async nextEndpoints(): Promise<ControlMessage> {
        for (;;) {
            const index = this.received.findIndex(({ kind }) => kind === "endpoints" || kind === "endpointChanges");
            const [message] = index < 0 ? [] : this.received.splice(index, 1);
            if (message !== undefined) {
                return message;
            }
            await clock.sleep(5);
        }
    }

    static async start(): Promise<LinkedControl> {
        const control = new LinkedControl();
        const state = new HostedState(() => undefined);
        const quarantine = new QuarantineDuty({
            log: new VolatileCommandLog(state),
            state,
            clock,
            unixNow: () => clock.unixNow(),
            eventLog,
            endpointCount: () => 10,
            onSuspectsChange: () => undefined,
        });
        control.quarantine = quarantine;
        const server = createServer(socket => {
            const link = new EntryLink(socket, {
                clock,
                suspensionDetector,
                eventLog,
                medianClock: new MedianClock(),
                registry: new EntryRegistry(),
                document: () => undefined,
                endpoints: () => control.endpoints,
                ownEndpoints: () => control.endpoints,
                confirmVersion: () => Promise.resolve(undefined),
                isLeader: () => control.isLeading,
                controlHosts: () => [],
                leaderHost: () => undefined,
                rateLimits: new RateLimitLedger(eventLog),
                retries: new RetryLedger(testBounds),
                grantingTerm: () => control.isLeading ? 1 : undefined,
                quarantine,
                holdsRevision: () => state.holdsRevision,
                streamOrigins: new StreamOriginStore(16),
            });
            control.links.push(link);
            void link.run();
        });
        control.store.defer(() => {
            server.close();
        });
        const connection = new MessageConnection(connect(splitAddress(await listen(server, "127.0.0.1:0"))));
        control.store.add(connection);
        control.connection = connection;
        void control.receive(connection);
        return control;
    }

    send(message: EntryMessage): void {
        this.connection?.send(message);
    }

    /** Sends a heartbeat; returns the lists of suspects that arrived since the previous one, by their lengths. */
    async suspectsWithHeartbeat(): Promise<readonly number[]> {
        // Longer than evidence is collected before it is evaluated.
        await clock.sleep(60);
        const number = ++this.heartbeats;
        this.send({
            kind: "beat",
            number,
            unixTime: 0,
            version: 0,
            isReady: true,
            interval: 400,
            wantsPermit: false,
            work: {},
        });
        while (!this.received.some(message => message.kind === "beatAnswer" && message.number === number)) {
            await clock.sleep(5);
        }
        const messages = this.received.splice(0);
        return messages.flatMap(message => message.kind === "suspects" ? [message.suspects.length] : []);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private async receive(connection: MessageConnection): Promise<void> {
        for await (const message of connection.messages()) {
            this.received.push(message as ControlMessage);
        }
    }
}

describe("EntryLink", () => {
    // Guards against a former leader that replaces the suspects of the one that leads now.
    it("sends suspects only while its process leads, and each first time it does", async t => {
        await using control = await LinkedControl.start();
        control.send(hello);
        t.deepEqual(await control.suspectsWithHeartbeat(), [0], "also an empty list, which replaces another leader's");
        control.send(crashOf("e0"));
        t.deepEqual(await control.suspectsWithHeartbeat(), [1]);
        t.deepEqual(await control.suspectsWithHeartbeat(), [], "the entry has been told");
        control.isLeading = false;
        control.send(crashOf("e1"));
        t.deepEqual(await control.suspectsWithHeartbeat(), []);
        control.isLeading = true;
        t.deepEqual(await control.suspectsWithHeartbeat(), [1]);
    });

    // Guards against a list that is sent in full to each entry whenever one endpoint changes. Pattern: a large fleet, of
    // which some endpoint always starts or leaves.
    it("sends only the changes of the list of endpoints", async t => {
        await using control = await LinkedControl.start();
        const endpoints = Array.from(Array(1_000).keys(), index => createEndpointRecord(`e${index}`));
        control.publishEndpoints(endpoints);
        control.send({ ...hello, understandsEndpointChanges: true });
        t.is((await control.nextEndpoints()).kind, "endpoints");
        control.publishEndpoints([...endpoints.slice(1), createEndpointRecord("new")]);
        const message = await control.nextEndpoints();
        t.is(message.kind, "endpointChanges");
        t.true(JSON.stringify(message).length < 1_024, `${JSON.stringify(message).length} characters`);
    });

    // Guards against entries of an earlier version, which would close the link.
    it("sends whole lists to entries that do not understand changes", async t => {
        await using control = await LinkedControl.start();
        control.publishEndpoints([createEndpointRecord("a")]);
        control.send(hello);
        t.is((await control.nextEndpoints()).kind, "endpoints");
        control.publishEndpoints([createEndpointRecord("a"), createEndpointRecord("b")]);
        t.is((await control.nextEndpoints()).kind, "endpoints");
    });

    // Guards against evidence of a peer that has not said who it is.
    it("takes no evidence before the first message of an entry", async t => {
        await using control = await LinkedControl.start();
        control.send(crashOf("e0"));
        await clock.sleep(100);
        t.is(control.suspectCount, 0);
    });
});
