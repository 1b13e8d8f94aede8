import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { OperatorClient } from "../../../src/operator/operatorClient.js";
import { ControlProcess } from "../../../src/process/control/controlProcess.js";
import { allocateFreeAddresses } from "../../../src/quickstart/freeAddresses.js";
import { createQuickstartManifest } from "../../../src/quickstart/quickstartManifest.js";
import { controlSettingsSchema } from "../../../src/settings/controlSettings.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { generateKey } from "../../../src/util/generateKey.js";
import { keyDigest } from "../../../src/util/keyDigest.js";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { bodyOf, looksComplete } from "../../connection/rawCaller.js";
import { describe, it } from "../../describe.js";

const clock = new SystemClock();
const token = generateKey();
const headers = { host: "control", authorization: `Bearer ${token}` };

/** Number of teams of a manifest that the buffers of one connection do not hold. */
const largeManifestTeams = 30_000;

interface StartedControl {
    readonly process: ControlProcess;
    readonly operatorAddress: string;
    readonly entryAddress: string;
}

/** Starts the only control process of a cluster; resolves when it leads. */
async function startControl(store: DisposableStore, teams: number): Promise<StartedControl> {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-"));
    store.defer(() => rm(folder, { recursive: true, force: true }));
    const [peerAddress, operatorAddress = "", entryAddress = ""] = await allocateFreeAddresses(3);
    const settings = controlSettingsSchema.parse({
        cluster: "stop",
        failureDomain: "hobart-a",
        name: "control-1",
        controls: [{ name: "control-1", peerAddress, operatorAddress, entryAddress }],
        peerSecurity: { kind: "plainOnLoopback" },
        dataFolder: join(folder, "control-1"),
        operators: [{ name: "operator", tokenDigest: keyDigest(token) }],
    });
    const process = store.add(new ControlProcess(settings, clock, new EventLog("control-1", "hidden")));
    await process.start();
    const keys = [generateKey(), generateKey()] as const;
    const manifest = createQuickstartManifest({ number: 1, keys, engineAddresses: [], serviceAddress: "127.0.0.1:1" });
    const furtherTeams = Array.from(Array(teams).keys(), index => {
        return { name: `team-${index}`, keys: [{ name: "main", digest: keyDigest(`key-${index}`) }] };
    });
    const body = JSON.stringify({ ...manifest, teams: [...(manifest as { teams: object[]; }).teams, ...furtherTeams] });
    const client = new OperatorClient([operatorAddress], token, clock);
    let accepted = await client.call({ method: "PUT", path: "/v1/manifest", body });
    while (accepted.err) {
        accepted = await client.call({ method: "PUT", path: "/v1/manifest", body });
    }
    if (accepted.val.status !== 200) {
        throw new Error(accepted.val.body.toString("utf8"));
    }
    let shown = 0;
    while (shown !== 200) {
        shown = (await client.call({ method: "GET", path: "/v1/manifest" })).unwrap().status;
    }
    return { process, operatorAddress, entryAddress };
}

/** Reads until the connection has closed; returns what was received. */
async function readToClose(socket: Socket): Promise<string> {
    let received = "";
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => received += text);
    if (!socket.destroyed) {
        await once(socket, "close");
    }
    return received;
}

describe("control process that stops", () => {
    // Guards against a leader that never ends, and refuses all entries, because an operator keeps an unused connection.
    it("closes connections of operators that were never used", async t => {
        await using store = new DisposableStore();
        const { process, operatorAddress } = await startControl(store, 0);
        const received = readToClose(await openConnection(operatorAddress));
        await process[Symbol.asyncDispose]();
        t.is(await received, "");
    });

    // Guards against a leader that never ends because the rest of an operator's request does not arrive.
    it("closes a connection on which the rest of a request does not arrive", async t => {
        await using store = new DisposableStore();
        const { process, operatorAddress } = await startControl(store, 0);
        const socket = await openConnection(operatorAddress);
        const received = readToClose(socket);
        const request = formatRequest("PUT", "/v1/manifest", headers, "{}").slice(0, -1);
        await new Promise(resolve => socket.write(request, resolve));
        await clock.sleep(100);
        await process[Symbol.asyncDispose]();
        t.notRegex(await received, /^HTTP\/1\.1 2/);
    });

    // Guards against entries that lose their leader, and no other leads, while a process waits for its operators.
    it("accepts entries until the requests of operators have ended", async t => {
        await using store = new DisposableStore();
        const { process, operatorAddress, entryAddress } = await startControl(store, 0);
        const socket = await openConnection(operatorAddress);
        socket.write("GET /v1/status HTTP/1.1\r\nhos");
        await clock.sleep(100);
        const stopped = process[Symbol.asyncDispose]();
        await clock.sleep(500);
        const entrySocket = await openConnection(entryAddress);
        t.false(entrySocket.destroyed);
        socket.destroy();
        await stopped;
    });

    // Guards against operators who go on using a connection of a process that stops, or get no response.
    it("answers a request whose end arrives during the stop, and closes its connection", async t => {
        await using store = new DisposableStore();
        const { process, operatorAddress } = await startControl(store, 0);
        const socket = await openConnection(operatorAddress);
        const received = readToClose(socket);
        const request = formatRequest("POST", "/v1/keys/withdraw", headers, JSON.stringify({ digest: keyDigest("x") }));
        await new Promise(resolve => socket.write(request.slice(0, -1), resolve));
        await clock.sleep(100);
        const stopped = process[Symbol.asyncDispose]();
        await clock.sleep(100);
        socket.write(request.slice(-1));
        t.regex(await received, /^HTTP\/1\.1 \d{3} .*\r\nconnection: close\r\n/is);
        await stopped;
    });

    // Guards against a response that is cut because its reader is slower than the operating system's buffers bear.
    it("sends a large response completely to an operator who reads slowly", async t => {
        await using store = new DisposableStore();
        const { process, operatorAddress } = await startControl(store, largeManifestTeams);
        const socket = await openConnection(operatorAddress);
        socket.pause();
        socket.write(formatRequest("GET", "/v1/manifest", headers));
        await once(socket, "readable");
        const stopped = process[Symbol.asyncDispose]();
        await clock.sleep(200);
        const [head = "", framedBody = ""] = (await readToClose(socket)).split("\r\n\r\n");
        const response = { head, framedBody, ending: "end" as const };
        t.true(looksComplete(response), `${framedBody.length} bytes`);
        t.is((JSON.parse(bodyOf(response)) as { teams: object[]; }).teams.length, largeManifestTeams + 2);
        await stopped;
    });
});
