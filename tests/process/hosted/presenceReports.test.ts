import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { linkProtocolVersion } from "../../../src/connection/hosted/linkMessages.js";
import type { ControlMessage, EntryMessage } from "../../../src/connection/hosted/linkMessages.js";
import { MessageConnection } from "../../../src/connection/messageConnection.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { describe, itSerially } from "../../describe.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Interval at which an entry sends a heartbeat, in milliseconds; without any, its link is given up. */
const beatInterval = 400;

/** Number of entries that link to a control process one after the other, without pauses. */
const entryCount = 120;

function helloOf(index: number): EntryMessage {
    return {
        kind: "hello",
        protocol: linkProtocolVersion,
        entry: `entry-${index}`,
        incarnation: String(index),
        failureDomain: "north",
        callerAddress: `127.0.0.1:${1_000 + index}`,
        version: 0,
    };
}

const beat: EntryMessage = {
    kind: "beat",
    number: 1,
    unixTime: 0,
    version: 0,
    isReady: true,
    interval: beatInterval,
    wantsPermit: false,
    work: {},
};

function isPresence(message: ControlMessage): message is Extract<ControlMessage, { kind: "presence"; }> {
    return message.kind === "presence";
}

describe("reports of a control process about its entries", () => {
    // Guards against control processes that are overloaded by reports while many entries link at once (DRAIN).
    itSerially("are fewer than the entries that link at once, and name all of them in the end", async t => {
        await using store = new DisposableStore();
        const installation = store.add(await HostedInstallation.start(87, () => undefined));
        const target = { host: "127.0.87.1", port: installation.firstInternalPort + 1 };
        const open = (): MessageConnection => store.add(new MessageConnection(connect(target)));
        const observer = open();
        const reports: Extract<ControlMessage, { kind: "presence"; }>[] = [];
        observer.send({ kind: "observe", protocol: linkProtocolVersion, control: "observer" });
        void (async () => {
            for await (const message of observer.messages()) {
                reports.push(...[message as ControlMessage].filter(isPresence));
            }
        })();
        while (reports.length === 0) {
            await sleep(5);
        }
        const before = reports.length;
        const named = (): number =>
            reports.at(-1)?.entries.filter(({ entry }) => entry.startsWith("entry-")).length ?? 0;
        for (let index = 0; index < entryCount; index++) {
            const link = open();
            link.send(helloOf(index));
            link.send(beat);
            const timer = setInterval(() => {
                link.send(beat);
            }, beatInterval);
            store.defer(() => {
                clearInterval(timer);
            });
            await link.messages().next();
        }
        while (named() < entryCount) {
            await sleep(5);
        }
        t.true(reports.length - before < entryCount / 2, `${reports.length - before} reports`);
    });
});
