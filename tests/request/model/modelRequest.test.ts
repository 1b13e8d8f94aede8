import { once } from "node:events";
import type { UsageRecord } from "../../../src/process/usage/usageCommand.js";
import type { FaultInput } from "../../../src/standIn/fault.js";
import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, chatCall, chatText, codeOf, collect, open, streamedText } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { disconnections, formatRequest, sendAndDisconnect } from "../../connection/leavingCaller.js";
import { startRawServer } from "../../connection/rawServer.js";
import { describe, it } from "../../describe.js";

async function startEngines(store: DisposableStore, count: number, options: object = {}): Promise<ModelEngine[]> {
    const engines = [...Array(count).keys()].map(index =>
        store.add(
            new ModelEngine({ name: `engine-${index + 1}`, models: ["alpha"], ...options }, new SystemClock()),
        )
    );
    await Promise.all(engines.map(engine => engine.start()));
    return engines;
}

function numberedPrompts(prefix: string, count: number): readonly string[] {
    return Array.from(Array(count).keys(), index => `${prefix}-${index}`);
}

describe("model request", () => {
    describe("with a fault at one engine", () => {
        const faults: readonly FaultInput[] = [
            { kind: "breakStreams", afterTokens: 7, times: 2 },
            { kind: "crossAnswers" },
            { kind: "crossAnswers", replace: true, times: 3 },
            { kind: "duplicateToken", tokenNumber: 3 },
            { kind: "skipToken", tokenNumber: 5, times: 1 },
            { kind: "refuseLeaving", times: 2, pathPrefix: "/v1/chat" },
            { kind: "crash" },
        ];
        for (const fault of faults) {
            it(`delivers complete responses: ${JSON.stringify(fault)}`, async t => {
                await using store = new DisposableStore();
                const engines = await startEngines(store, 2, { stepMilliseconds: 2 });
                const entry = store.add(await TestEntry.start({ engines: engines.map(engine => engine.address) }));
                const earlyPrompts = numberedPrompts("begun", 40);
                const messages = await Promise.all(earlyPrompts.map(text => open(entry, chatCall(120, text))));
                engines[0]?.faults.set(fault);
                const latePrompts = numberedPrompts("fresh", 6);
                const responses = await Promise.all([
                    ...messages.map(collect),
                    ...latePrompts.map(text => ask(entry, chatCall(30, text))),
                ]);
                const expected = [
                    ...earlyPrompts.map(text => chatText(120, text)),
                    ...latePrompts.map(text => chatText(30, text)),
                ];
                t.deepEqual(responses.map(streamedText), expected);
                t.is(entry.engines.running, 0);
            });
        }
    });

    it("aborts a stalled response and resumes it at another engine", async t => {
        await using store = new DisposableStore();
        const engines = await startEngines(store, 2, { stepMilliseconds: 5 });
        const entry = store.add(await TestEntry.start({ engines: engines.map(engine => engine.address) }));
        const message = await open(entry, chatCall(60));
        const busy = engines.find(engine => engine.requestLog.findContaining("answer-tokens").length > 0);
        busy?.faults.set({ kind: "stall" });
        entry.state.deadlines.sweep(Infinity);
        t.is(streamedText(await collect(message)), chatText(60));
        t.is(entry.state.metrics.counters.countOf("stalledAnswers"), 1);
    });

    // Guards against an answer that one version of a model begins and another one continues.
    it("resumes a response only at the model version that began it", async t => {
        await using store = new DisposableStore();
        const clock = new SystemClock();
        const versions = ["1", "2", "1", "2"];
        const engines = await Promise.all(versions.map(async (version, index) => {
            const [engine] = await startEngines(store, 1, {
                name: `engine-${index + 1}`,
                version,
                stepMilliseconds: 2,
            });
            return engine;
        }));
        const entry = store.add(await TestEntry.start({ engines: engines.map(engine => engine?.address ?? "") }));
        entry.engines.table.all.forEach((endpoint, index) => {
            const report = { model: "alpha", version: versions[index], maximumRunningRequests: 8, runningRequests: 0 };
            const current = { ...report, reportedAt: clock.unixNow(), waitingRequests: 0, leaving: false };
            endpoint.applyReport(current, clock.now(), clock.unixNow());
        });
        engines.forEach(engine => engine?.faults.set({ kind: "breakStreams", afterTokens: 7, times: 2 }));
        const prompts = numberedPrompts("version", 12).map(prompt => `${prompt}!`);
        const responses = await Promise.all(prompts.map(text => ask(entry, chatCall(30, text))));
        t.deepEqual(responses.map(streamedText), prompts.map(text => chatText(30, text)));
        const mixed = prompts.filter(text => {
            const ran = engines.filter(engine => {
                return engine?.requestLog.findContaining(text).some(({ status }) => status === 200);
            });
            return new Set(ran.map(engine => versions[engines.indexOf(engine)])).size > 1;
        });
        t.deepEqual(mixed, []);
    });

    it("reports the outcome as unknown, not as not run, when every attempt was interrupted", async t => {
        await using store = new DisposableStore();
        const [engine] = await startEngines(store, 1);
        engine?.faults.set({ kind: "breakStreams", afterTokens: 0 });
        const entry = store.add(await TestEntry.start({ engines: [engine?.address ?? ""] }));
        engine?.faults.set({ kind: "answerLate", milliseconds: 60_000, pathPrefix: "/v1/chat" });
        const response = ask(entry, chatCall(5));
        await entry.waitUntil(() => entry.engines.running === 1);
        const timer = setInterval(() => {
            entry.state.deadlines.sweep(Infinity);
        }, 100);
        const { status, headers, body } = await response;
        clearInterval(timer);
        t.deepEqual([status, headers["x-outcome"], codeOf({ body })], [502, "unknown", "endpointFailed"]);
    });

    // Guards against requests that reach an engine although their callers left while the entry's event loop was late.
    for (const disconnection of disconnections) {
        it(`is not sent to an engine if its caller left before it was read (${disconnection})`, async t => {
            await using store = new DisposableStore();
            const [engine] = await startEngines(store, 1);
            const entry = store.add(await TestEntry.start({ engines: [engine?.address ?? ""] }));
            // Leaves an idle connection to the engine, on which a request would be written at once.
            await ask(entry, chatCall(1, "first"));
            const { path, body } = chatCall(1, "left");
            const headers = { host: "calls.example", authorization: `Bearer ${entry.key}` };
            await sendAndDisconnect(entry.address, formatRequest("POST", path, headers, body), disconnection);
            for (let call = 0; call < 4; call++) {
                await ask(entry, chatCall(1, "further"));
            }
            t.is(engine?.requestLog.listAfter().filter(({ target }) => target === path).length, 5);
        });
    }

    it("cancels the request at the engine when the caller disconnects", async t => {
        await using store = new DisposableStore();
        const [engine] = await startEngines(store, 1);
        const entry = store.add(await TestEntry.start({ engines: [engine?.address ?? ""] }));
        const message = await open(entry, chatCall(5_000));
        message.destroy();
        await entry.waitUntil(() => (engine?.figures() as { readonly cancelled: number; }).cancelled === 1);
        await entry.waitUntil(() => entry.engines.running === 0);
        t.is(entry.state.deadlines.size, 0);
    });

    it("applies backpressure to the engine for a slow caller, and disconnects one that stops reading", async t => {
        await using store = new DisposableStore();
        const [engine] = await startEngines(store, 1, { stepMilliseconds: 0.1, bufferedBytesPerStream: 1024 });
        const entry = store.add(await TestEntry.start({ engines: [engine?.address ?? ""] }));
        const [unread, read] = await Promise.all([
            open(entry, { ...chatCall(1, "unread"), body: longChatBody("unread") }),
            ask(entry, chatCall(20, "read")),
        ]);
        t.is(streamedText(read), chatText(20, "read"));
        unread.pause();
        await entry.waitUntil(() => entry.state.deadlines.size > 0 && unread.readableLength > 0);
        entry.state.deadlines.sweep(Infinity);
        await entry.waitUntil(() => entry.engines.running === 0);
        const cut = await collect(unread);
        t.not(streamedText(cut), chatText(200_000, "unread"));
    });

    it("preempts a request of a lower tier and resumes it transparently to its caller", async t => {
        await using store = new DisposableStore();
        const [engine] = await startEngines(store, 1, { maximumRunning: 1, stepMilliseconds: 10 });
        const entry = store.add(await TestEntry.start({ engines: [engine?.address ?? ""], slots: 1 }));
        const low = await open(entry, chatCall(150, "low", "summaries"));
        const high = await ask(entry, chatCall(5, "high"));
        t.is(streamedText(high), chatText(5, "high"));
        t.is(streamedText(await collect(low)), chatText(150, "low"));
        t.true(entry.state.metrics.counters.countOf("preemptions") >= 1);
    });

    // Guards against tokens that are not billed because their caller left before the request was resumed.
    it("bills the tokens of a preempted request whose caller left before it was resumed", async t => {
        await using store = new DisposableStore();
        const [engine] = await startEngines(store, 1, { maximumRunning: 1, stepMilliseconds: 10 });
        const entry = store.add(await TestEntry.start({ engines: [engine?.address ?? ""], slots: 1 }));
        const low = await open(entry, chatCall(150, "low", "summaries"));
        await once(low, "data");
        const high = await open(entry, chatCall(1_000, "high"));
        t.true(entry.state.metrics.counters.countOf("preemptions") >= 1);
        low.destroy();
        const records = (): readonly UsageRecord[] => entry.state.usageRecorder.nextDelivery()?.records ?? [];
        await entry.waitUntil(() => records().length > 0);
        t.like(records()[0], { requestClass: "summaries", outcome: "cut" });
        t.true((records()[0]?.outputTokens ?? 0) > 0);
        high.destroy();
    });
});

function longChatBody(text: string): string {
    const messages = [{ role: "user", content: `${text} [answer-tokens: 200000]` }];
    return JSON.stringify({ model: "alpha", stream: true, max_tokens: 4096, messages });
}

describe("error of an engine", () => {
    // Guards against a part of an error that callers get as the whole, and against requests that are then not repeated.
    it("is not forwarded if its connection is reset together with its last bytes", async t => {
        await using store = new DisposableStore();
        const engine = await startRawServer(store, "HTTP/1.1 400 Bad Request\r\n\r\npart", "resetWithData");
        const entry = store.add(await TestEntry.start({ engines: [engine] }));
        const response = await ask(entry, chatCall(5));
        t.deepEqual([codeOf(response), response.body.includes("part")], ["endpointFailed", false]);
    });
});
