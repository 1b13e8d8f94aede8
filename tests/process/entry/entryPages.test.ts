import test from "ava";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { OperatorClient } from "../../../src/operator/operatorClient.js";
import { ControlProcess } from "../../../src/process/control/controlProcess.js";
import { EntryProcess } from "../../../src/process/entry/entryProcess.js";
import { allocateFreeAddresses } from "../../../src/quickstart/freeAddresses.js";
import { createQuickstartManifest } from "../../../src/quickstart/quickstartManifest.js";
import { controlSettingsSchema } from "../../../src/settings/controlSettings.js";
import { entrySettingsSchema } from "../../../src/settings/entrySettings.js";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { generateKey } from "../../../src/util/generateKey.js";
import { keyDigest } from "../../../src/util/keyDigest.js";
import { describe, itSerially } from "../../describe.js";

const clock = new SystemClock();
const disposables = new DisposableStore();
const logLines: string[] = [];
const keys = [generateKey(), generateKey()] as const;
const token = generateKey();
const unknownKey = generateKey();
const service = disposables.add(new PlainService({ name: "bookings-1" }, clock));
let processAddresses: Readonly<Record<"caller" | "entryMetrics" | "controlMetrics", string>>;

function eventLog(name: string): EventLog {
    return new EventLog(name, "json", line => {
        logLines.push(line);
    });
}

function sendRequest(address: string, path: string, key?: string, body?: string): Promise<HttpCallResponse> {
    const method = body === undefined ? "GET" : "POST";
    const headers = key === undefined ? {} : { "authorization": `Bearer ${key}`, "x-api-key": key };
    const resultPromise = httpCall({
        address,
        method,
        path,
        headers,
        timeout: 20_000,
        ...(body === undefined ? {} : { body }),
    });
    return resultPromise.then(response => response.unwrap());
}

test.before(async () => {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-"));
    disposables.defer(() => rm(folder, { recursive: true, force: true }));
    const [peerAddress, operatorAddress = "", entryAddress] = await allocateFreeAddresses(3);
    const commonSettings = { cluster: "pages", failureDomain: "hobart-a" };
    const control = new ControlProcess(
        controlSettingsSchema.parse({
            ...commonSettings,
            name: "control-1",
            controls: [{ name: "control-1", peerAddress, operatorAddress, entryAddress }],
            peerSecurity: { kind: "plainOnLoopback" },
            dataFolder: join(folder, "control-1"),
            operators: [{ name: "operator", tokenDigest: keyDigest(token) }],
        }),
        clock,
        eventLog("control-1"),
    );
    const { metricsAddress: controlMetrics } = await disposables.add(control).start();
    const entrySettings = { callerAddress: "127.0.0.1:0", controlAddresses: [entryAddress], discoverySeconds: 1 };
    const settings = entrySettingsSchema.parse({ ...commonSettings, ...entrySettings, name: "entry-1" });
    const entry = disposables.add(new EntryProcess(settings, clock, eventLog("entry-1")));
    const { callerAddress: caller, metricsAddress: entryMetrics } = await entry.start();
    processAddresses = { caller, entryMetrics, controlMetrics };
    const serviceAddress = await service.start();
    // No engine listens at this address, so that model calls fail.
    const [engineAddress = ""] = await allocateFreeAddresses(1);
    const manifest = createQuickstartManifest({ number: 1, keys, engineAddresses: [engineAddress], serviceAddress });
    const client = new OperatorClient([operatorAddress], token, clock);
    for (
        const request of [
            { method: "PUT", path: "/v1/manifest", body: JSON.stringify(manifest) },
            { method: "GET", path: "/v1/in-force?version=1" },
            { method: "POST", path: "/v1/keys/withdraw", body: JSON.stringify({ digest: keyDigest(keys[1]) }) },
            { method: "GET", path: "/v1/in-force?version=2" },
        ]
    ) {
        let response = (await client.call(request)).unwrap();
        while (response.status === 504) {
            response = (await client.call(request)).unwrap();
        }
        if (response.status !== 200) {
            throw new Error(response.body.toString("utf8"));
        }
    }
});

test.after.always(() => disposables.dispose());

const chat = JSON.stringify({ model: "drafting", messages: [{ role: "user", content: "Hello" }] });

describe("an entry and its control process", () => {
    itSerially("never log API keys or operator tokens, whether they serve or refuse a request", async t => {
        const statuses = [
            (await sendRequest(processAddresses.caller, "/bookings/places", keys[0], "{}")).status,
            (await sendRequest(processAddresses.caller, "/v1/chat/completions", keys[0], chat)).status,
            (await sendRequest(processAddresses.caller, "/v1/chat/completions", keys[1], chat)).status,
            (await sendRequest(processAddresses.caller, "/v1/chat/completions", unknownKey, chat)).status,
            (await sendRequest(processAddresses.caller, `/nowhere/${keys[0]}`, keys[0])).status,
            (await sendRequest(processAddresses.caller, `/bookings/places?key=${unknownKey}`, unknownKey)).status,
        ];
        t.is(statuses[0], 200);
        t.true((statuses[1] ?? 0) >= 500);
        t.deepEqual(statuses.slice(2), [401, 401, 404, 401]);
        t.true(logLines.length >= 4);
        for (const secret of [...keys, token, unknownKey]) {
            t.deepEqual(logLines.filter(line => line.includes(secret)), []);
        }
        t.deepEqual(service.requestLog.findContaining(keys[0]), []);
    });

    itSerially("log a failed request with its identifier, team and class", t => {
        const events = logLines.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
        const ended = events.find(({ id }) => id === "requestRefused" || id === "requestFailed");
        t.like(ended, { process: "entry-1", team: "glenorchy", requestClass: "drafts" });
        t.regex(String(ended?.["requestId"]), /^entry-1-/);
    });

    itSerially("expose metrics in the Prometheus text exposition format", async t => {
        for (const address of [processAddresses.entryMetrics, processAddresses.controlMetrics]) {
            const response = await sendRequest(address, "/metrics");
            t.is(response.status, 200);
            t.is(response.headers["content-type"], "text/plain; version=0.0.4; charset=utf-8");
            const linePattern = /^(# (HELP|TYPE) \w+ .+|\w+(\{(\w+="[^"]*",?)+\})? [-+.\deE]+|)$/;
            t.deepEqual(response.body.toString("utf8").split("\n").filter(line => !linePattern.test(line)), []);
        }
        const entry = (await sendRequest(processAddresses.entryMetrics, "/metrics")).body.toString("utf8");
        t.regex(entry, /^gullhall_requests_total\{class="bookings",team="glenorchy",end="answered"\} 1$/m);
        t.regex(entry, /^gullhall_total_seconds\{class="bookings",team="glenorchy",quantile="0.5"\} 0\.\d+$/m);
        const control = (await sendRequest(processAddresses.controlMetrics, "/metrics")).body.toString("utf8");
        t.regex(control, /^gullhall_control_leads 1$/m);
        t.regex(control, /^gullhall_configuration_version 2$/m);
        t.regex(control, /^gullhall_entries_connected 1$/m);
    });

    itSerially("expose their state as JSON", async t => {
        const entry = JSON.parse(
            (await sendRequest(processAddresses.entryMetrics, "/v1/state")).body.toString("utf8"),
        ) as object;
        t.like(entry, { entry: "entry-1", version: 2, serves: true, draining: false });
        const control = JSON.parse(
            (await sendRequest(processAddresses.controlMetrics, "/v1/state")).body.toString("utf8"),
        ) as object;
        t.like(control, { control: "control-1", role: "leader", holdsLease: true, version: 2, connectedEntries: 1 });
        t.is((await sendRequest(processAddresses.entryMetrics, "/v1/other")).status, 404);
    });
});
