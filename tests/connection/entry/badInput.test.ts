import { connect } from "node:net";
import { defaultCallerServerLimits } from "../../../src/connection/entry/callerServer.js";
import type { CallerServerLimits } from "../../../src/connection/entry/callerServer.js";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";
import { TestEntry } from "./testEntry.js";

/** Number of concurrent callers with bad input. */
const callerCount = 1_000;

/** Limits under which incomplete requests time out soon. */
const shortTimeouts = {
    ...defaultCallerServerLimits,
    headersTimeout: 200,
    requestTimeout: 300,
    timeoutCheckInterval: 50,
};

/** Sends bytes; resolves with everything that is received until the connection closes. */
function send(entry: TestEntry, bytes: string, disconnectAfterWrite = false): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = connect(splitAddress(entry.address), () => {
            socket.write(bytes, () => {
                if (disconnectAfterWrite) {
                    socket.destroy();
                }
            });
        });
        socket.setEncoding("utf8");
        socket.on("data", text => {
            received += text as unknown as string;
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            resolve(received);
        });
    });
}

function post(entry: TestEntry, path: string, body: string, headers: readonly string[] = []): string {
    const length = `content-length: ${Buffer.byteLength(body)}`;
    const lines = [`POST ${path} HTTP/1.1`, "host: x", `authorization: Bearer ${entry.key}`, length, ...headers];
    return `${lines.join("\r\n")}\r\nconnection: close\r\n\r\n${body}`;
}

type BadInput = readonly [title: string, bytes: (entry: TestEntry) => string, expected: RegExp];

const chatPath = "/v1/chat/completions";

const badInputs: readonly BadInput[] = [
    ["not HTTP", () => "nonsense\r\n\r\n", /^HTTP\/1.1 400 .*GH1364/s],
    [
        "large headers",
        () => `GET / HTTP/1.1\r\nhost: x\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
        /^HTTP\/1.1 431 .*GH1365/s,
    ],
    ["half a header", () => "GET /bookings/x HTTP/1.1\r\nhos", /^HTTP\/1.1 408 .*GH1366/s],
    ["half a body", entry => post(entry, "/bookings/x", "{}").replace("length: 2", "length: 9"), /^HTTP\/1.1 408/],
    ["malformed JSON", entry => post(entry, chatPath, "{\"model\":"), /^HTTP\/1.1 400 .*GH1303/s],
    ["large body", entry => post(entry, "/bookings/x", "x".repeat(70_000)), /^HTTP\/1.1 413 .*GH1304/s],
    ["unknown path", entry => post(entry, "/elsewhere", "{}"), /^HTTP\/1.1 404 .*GH1302/s],
    ["dot segments", entry => post(entry, "/bookings/../admin", "{}"), /^HTTP\/1.1 400 .*GH1363/s],
    ["escaped dots", entry => post(entry, "/bookings/%2e%2e/admin", "{}"), /^HTTP\/1.1 400 .*GH1363/s],
    ["absolute form", entry => post(entry, "http://other/bookings/x", "{}"), /^HTTP\/1.1 400 .*GH1363/s],
    ["unknown method", entry => post(entry, chatPath, "{}").replace("POST", "PUT"), /^HTTP\/1.1 405 .*GH1362/s],
    [
        "upgrade",
        () => "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        /^HTTP\/1.1 501 .*GH1367/s,
    ],
    ["tunnel", () => "CONNECT other:80 HTTP/1.1\r\nhost: other:80\r\n\r\n", /^HTTP\/1.1 501 .*GH1367/s],
    [
        "no key",
        entry => post(entry, "/bookings/x", "{}").replace(/authorization.*\r\n/, ""),
        /^HTTP\/1.1 401 .*GH1300/s,
    ],
    ["unknown key", entry => post(entry, "/bookings/x", "{}").replace("ghk_", "ghk-"), /^HTTP\/1.1 401 .*GH1301/s],
    ["two lengths", entry => post(entry, "/bookings/x", "{}", ["content-length: 7"]), /^HTTP\/1.1 400 .*GH1364/s],
];

async function withEntry(
    limits: CallerServerLimits,
    check: (entry: TestEntry, service: PlainService) => Promise<void>,
): Promise<void> {
    await using store = new DisposableStore();
    const service = store.add(new PlainService({}, new SystemClock()));
    await service.start();
    await check(store.add(await TestEntry.start({ services: [service.address] }, { limits })), service);
}

function requestTargets(service: PlainService): readonly string[] {
    return service.requestLog.listAfter().map(request => request.target).filter(target => target !== "/v1/load");
}

describe("bad input", () => {
    for (const [title, bytes, expected] of badInputs) {
        // Complete requests must not time out where the process reads them late.
        const limits = expected.source.includes(" 408") ? shortTimeouts : defaultCallerServerLimits;
        it(`gets an error response with a result code: ${title}`, t =>
            withEntry(limits, async (entry, service) => {
                t.regex(await send(entry, bytes(entry)), expected);
                t.deepEqual(requestTargets(service), []);
            }));
    }

    it("leaves no requests, claims or deadlines and reaches no endpoint, even if callers disconnect", t =>
        withEntry(shortTimeouts, async (entry, service) => {
            const sent = Array.from(Array(callerCount).keys(), index => {
                const [, bytes] = badInputs[index % badInputs.length] ?? badInputs[0] ?? ["", () => "", /x/];
                return send(entry, bytes(entry), index % 3 === 0);
            });
            await Promise.all(sent);
            await entry.waitUntil(() => entry.state.deadlines.size === 0);
            const { running, waiting } = entry.services;
            t.deepEqual(
                [running, waiting, entry.state.claims.pendingClaimCount, entry.state.claims.pendingResultCount],
                [0, 0, 0, 0],
            );
            t.deepEqual(requestTargets(service), []);
        }));
});
