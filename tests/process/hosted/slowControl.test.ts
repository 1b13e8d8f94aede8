import { createServer } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryMessage } from "../../../src/connection/hosted/linkMessages.js";
import { MessageConnection } from "../../../src/connection/messageConnection.js";
import { defaultConnectionLimits } from "../../../src/connection/server/connectionLimits.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { HostedEntryProcess } from "../../../src/process/hosted/entry/hostedEntryProcess.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen, splitAddress } from "../../../src/util/socketAddress.js";
import { describe, itSerially } from "../../describe.js";
import { testBounds } from "./hostedBounds.js";

/** Time after which an overloaded control process responds on a new link, in milliseconds. */
const responseDelay = 2_500;

/** Number of links after which the entry does not wait long enough. */
const maximumLinks = 4;

const host = "127.0.88.1";

/** A control process that responds on each link, but late. */
class SlowControl implements AsyncDisposable {
    /** Number of links that were opened. */
    links = 0;
    /** Whether the entry has gone on using a link after the late response. */
    isUsed = false;
    private readonly store = new DisposableStore();

    /** @returns The port of the control process. */
    async start(): Promise<number> {
        const server = createServer(socket => {
            this.links++;
            void this.serve(this.store.add(new MessageConnection(socket)));
        });
        this.store.defer(() => {
            server.close();
        });
        return splitAddress(await listen(server, `${host}:0`)).port;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private async serve(connection: MessageConnection): Promise<void> {
        let respondsFrom: number | undefined;
        for await (const received of connection.messages()) {
            const message = received as EntryMessage;
            if (message.kind !== "beat") {
                continue;
            }
            respondsFrom ??= performance.now() + responseDelay;
            this.isUsed ||= performance.now() > respondsFrom;
            setTimeout(() => {
                respondTo(message.number, connection);
            }, respondsFrom - performance.now());
        }
    }
}

function respondTo(number: number, connection: MessageConnection): void {
    connection.send({
        kind: "beatAnswer",
        number,
        unixTime: 0,
        isLeader: true,
        controlHosts: [host],
        leaderHost: host,
        entryCount: 1,
        work: {},
    });
}

describe("entry whose control process is overloaded", () => {
    // Guards against entries that give up links to an overloaded control process over and over, which overloads it (DRAIN).
    itSerially("waits longer on each new link until it gets a response", async t => {
        await using store = new DisposableStore();
        const control = store.add(new SlowControl());
        const port = await control.start();
        const clock = new SystemClock();
        const entry = new HostedEntryProcess(
            () => ({
                name: "entry-1",
                host: "127.0.88.2",
                failureDomain: "north",
                toleratedLosses: { vms: 1, fraction: 0 },
                callerAddress: "127.0.88.2:0",
                readinessAddress: undefined,
                operatorAddress: undefined,
                resolutionAddress: undefined,
                firstInternalPort: port - 1,
                seedOperatorAddresses: [`${host}:1`],
                isFirstStart: true,
                dataFolder: undefined,
                bounds: { ...testBounds, shutdown: 100 },
                connectionLimits: defaultConnectionLimits,
                platform: {
                    address: "127.0.0.1:1",
                    listCallsPerSecond: 10,
                    reportsUsage: false,
                    ordersEndpoints: false,
                },
            }),
            clock,
            new EventLog("test", "hidden"),
        );
        store.add(entry);
        await entry.start();
        while (!control.isUsed && control.links < maximumLinks) {
            await sleep(20);
        }
        t.true(control.isUsed, `${control.links} links were opened in vain`);
    });
});
