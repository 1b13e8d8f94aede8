import { request as httpRequest } from "node:http";
import type { ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { relayPortOffset } from "../../../src/connection/hosted/linkMessages.js";
import { relayHeaderNames } from "../../../src/connection/hosted/relayHeaders.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen, splitAddress } from "../../../src/util/socketAddress.js";
import { formatRequest } from "../../connection/leavingCaller.js";
import { bodyOf, isChunked, looksComplete, sendRaw } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { CuttableNetwork } from "./cuttableNetwork.js";
import { HostedInstallation } from "./hostedInstallation.js";
import { callForStream } from "./streamCaller.js";

/** Index of the entry that is cut off; that of the other one is 100. */
const cutEntryIndex = 101;

/** Time within which an entry notices that it is cut off, in milliseconds. */
const noticeTime = 3_000;

/** Longer than the part of a body that an entry buffers before it forwards any. */
const longBody = "x".repeat(100_000);

const document = documentOf(3, {
    routes: ["safe", "unsafe"].map(kind => ({
        "name": kind,
        "host": "calls.example",
        "path-prefix": `/${kind}/`,
        kind,
        "timeout-ms": 3_000,
        "target-latency-ms": 2_000,
        "attempts": 2,
        "service": "desk",
    })),
    services: [{ "name": "desk", "health-check-path": "/health", "connection-limit": 300 }],
});

interface ReceivedCall {
    readonly headers: Readonly<Record<string, unknown>>;
    readonly body: string;
    readonly response: ServerResponse;
}

/** An installation of two entries and two endpoints, of which one entry is cut off from the endpoints. */
class CutInstallation implements AsyncDisposable {
    readonly received: ReceivedCall[] = [];
    private readonly store = new DisposableStore();
    private readonly network = this.store.add(new CuttableNetwork());
    private readonly addresses: string[] = [];
    /** Address at which the entry that is not cut off accepts calls of others. */
    relayAddress = "";

    private constructor(private readonly respond: (call: ReceivedCall) => void) {}

    static async start(
        store: DisposableStore,
        network: number,
        respond: (call: ReceivedCall) => void,
    ): Promise<readonly [CutInstallation, string]> {
        const cut = store.add(new CutInstallation(respond));
        await cut.startEndpoints();
        await cut.network.addEndpoints(cut.addresses);
        const rows = cut.addresses.map((address, index) => {
            const row = { identifier: `i-${index}`, service: "desk", address, version: "v1" };
            return { ...row, zone: "north", slots: 64, state: "ready" };
        });
        const installation = cut.store.add(await HostedInstallation.start(network, () => undefined, 0, () => rows));
        await installation.submitUntilAccepted(document);
        const { host } = splitAddress(installation.callerAddress);
        cut.relayAddress = `${host}:${installation.firstInternalPort + relayPortOffset}`;
        const entry = await installation.startFurtherEntry(cutEntryIndex, cut.network.open);
        for (const address of [entry, installation.callerAddress]) {
            while ((await callForStream(address, { callId: "first", path: "/safe/a" })).status !== 200) {
                await sleep(50);
            }
        }
        cut.network.cutOff("reset");
        await Promise.all(
            Array.from(Array(40).keys(), index => callForStream(entry, { callId: `early-${index}`, path: "/safe/a" })),
        );
        await sleep(noticeTime);
        cut.received.length = 0;
        return [cut, entry];
    }

    /** Number of bytes that the cut-off entry has sent to endpoints itself. */
    get directBytes(): number {
        return this.network.sentBytes;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private async startEndpoints(): Promise<void> {
        for (let index = 0; index < 2; index++) {
            const server = createServer((request, response) => {
                const chunks: Buffer[] = [];
                request.on("data", (chunk: Buffer) => chunks.push(chunk));
                request.on("end", () => {
                    response.setHeader("gullhall-attempt-id", String(request.headers["gullhall-attempt-id"]));
                    response.setHeader("gullhall-response-signature", `proof-${index}`);
                    const call = { headers: request.headers, body: Buffer.concat(chunks).toString(), response };
                    this.received.push(call);
                    this.respond(call);
                });
            });
            this.store.defer(() => {
                server.close();
                server.closeAllConnections();
            });
            this.addresses.push(await listen(server, "127.0.0.1:0"));
        }
    }
}

/** Sends one request; resolves with its response, or with the status 0 without one. */
function send(
    address: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    leaveAfter?: number,
): Promise<{ readonly status: number; readonly headers: Readonly<Record<string, unknown>>; readonly body: string; }> {
    return new Promise(resolve => {
        const request = httpRequest({
            ...splitAddress(address),
            agent: false,
            method: "POST",
            path,
            headers: { "host": "calls.example", "api-key": "key-1", ...headers },
        }, response => {
            let body = "";
            response.on("data", (bytes: Buffer) => body += bytes.toString());
            response.once("close", () => {
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body });
            });
        });
        request.once("error", () => {
            resolve({ status: 0, headers: {}, body: "" });
        });
        request.end("body");
        if (leaveAfter !== undefined) {
            setTimeout(() => {
                request.destroy();
            }, leaveAfter);
        }
    });
}

describe("call that is relayed by another entry", () => {
    // Guards against a detour on which a call loses its key's secrecy, its team, its deadline or the endpoint's proof.
    itSerially("reaches the endpoint, and its response the caller, as if it had been sent directly", async t => {
        await using store = new DisposableStore();
        const [cut, entry] = await CutInstallation.start(store, 81, ({ response }) => {
            response.end("answer");
        });
        const headers = {
            "gullhall-attempt-id": "call-1",
            "gullhall-deadline-remaining": "2500",
            "gullhall-hold": "h",
            [relayHeaderNames.team]: "other",
            [relayHeaderNames.executions]: "1",
        };
        const { directBytes } = cut;
        const response = await send(entry, "/unsafe/a", headers);
        t.is(cut.directBytes, directBytes, "the entry itself sends nothing to endpoints");
        t.is(response.status, 200, response.body);
        t.is(response.body, "answer");
        t.regex(String(response.headers["gullhall-response-signature"]), /^proof-/);
        t.is(cut.received.length, 1);
        const [received] = cut.received;
        t.is(received?.body, "body");
        t.is(received?.headers["gullhall-tenant"], "clinic");
        t.is(received?.headers["api-key"], undefined);
        t.is(received?.headers["gullhall-hold"], undefined);
        t.deepEqual(Object.values(relayHeaderNames).filter(name => received?.headers[name] !== undefined), []);
        const remaining = Number(received?.headers["gullhall-deadline-remaining"]);
        t.true(remaining > 0 && remaining <= 2_500);
    });

    // Guards against a booking that runs twice, or whose failure promises that it has not run.
    itSerially("runs once at most if its route does not allow more, and its failure is true", async t => {
        await using store = new DisposableStore();
        const [cut, entry] = await CutInstallation.start(store, 82, ({ headers, response }) => {
            if (headers["gullhall-attempt-id"] === "call-1") {
                response.destroy();
                return;
            }
            response.end("answer");
        });
        const { status } = await send(entry, "/unsafe/a", { "gullhall-attempt-id": "call-1" });
        t.is(status, 502);
        t.is(cut.received.filter(({ headers }) => headers["gullhall-attempt-id"] === "call-1").length, 1);
        t.is((await send(entry, "/unsafe/a", { "api-key": "unknown" })).status, 401);
    });

    // Guards against a body on a detour whose end does not show whether it is complete.
    itSerially("shows the end of a body without a length only if the endpoint ended it in order", async t => {
        await using store = new DisposableStore();
        const [cut, entry] = await CutInstallation.start(store, 90, ({ headers, response }) => {
            if (!String(headers["gullhall-attempt-id"]).startsWith("long")) {
                response.end("answer");
                return;
            }
            response.shouldKeepAlive = false;
            response.removeHeader("transfer-encoding");
            response.write(longBody, () => {
                if (headers["gullhall-attempt-id"] === "long-whole") {
                    response.end();
                }
                else {
                    setTimeout(() => response.socket?.resetAndDestroy(), 100);
                }
            });
        });
        for (const ending of ["whole", "broken"]) {
            const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": `long-${ending}` };
            const response = await sendRaw(entry, formatRequest("POST", "/unsafe/a", headers), 2_000);
            t.regex(response.head, /^HTTP\/1\.1 200 /);
            t.true(isChunked(response));
            t.is(bodyOf(response).length, longBody.length);
            t.is(looksComplete(response), ending === "whole");
        }
        t.is(cut.received.length, 2);
    });

    // Guards against work at endpoints for callers that left while their call was on a detour.
    itSerially("is cancelled at the endpoint when its caller leaves", async t => {
        await using store = new DisposableStore();
        let closed = 0;
        const [, entry] = await CutInstallation.start(store, 83, ({ headers, response }) => {
            if (headers["gullhall-attempt-id"] !== "left") {
                response.end("answer");
                return;
            }
            response.once("close", () => closed++);
        });
        await send(entry, "/safe/a", { "gullhall-attempt-id": "left" }, 300);
        while (closed === 0) {
            await sleep(20);
        }
        t.is(closed, 1);
    });

    // Guards against strangers that have calls run without a key on the way between entries.
    itSerially("is refused if it does not come from an entry of the installation", async t => {
        await using store = new DisposableStore();
        const [cut] = await CutInstallation.start(store, 84, ({ response }) => {
            response.end("answer");
        });
        for (const token of [undefined, "", "0".repeat(32)]) {
            const { status } = await send(cut.relayAddress, "/safe/a", {
                [relayHeaderNames.executions]: "0",
                [relayHeaderNames.team]: "clinic",
                ...token === undefined ? {} : { [relayHeaderNames.token]: token },
            });
            t.is(status, 403);
        }
        t.is(cut.received.length, 0);
    });
});
