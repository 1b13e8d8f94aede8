import { once } from "node:events";
import { connect } from "node:net";
import { promptText } from "../../../src/standIn/modelEngine/completionBody.js";
import {
    DeterministicCompletion,
    expectedCompletion,
} from "../../../src/standIn/modelEngine/deterministicCompletion.js";
import type { EngineStatistics } from "../../../src/standIn/modelEngine/engineCounters.js";
import type { EngineOptionsInput } from "../../../src/standIn/modelEngine/engineOptions.js";
import type { EngineLoadReport } from "../../../src/standIn/modelEngine/loadReport.js";
import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { AutoAdvancingClock } from "../autoAdvancingClock.js";
import { callHttp, parseChunks, parseJsonBody, textOf } from "../httpCaller.js";
import type { HttpResponse, StreamChunk } from "../httpCaller.js";

const clock = new SystemClock();
const fastOptions = { models: ["alpha"], stepMilliseconds: 1, stepMillisecondsPerRequest: 0, reportLagMilliseconds: 0 };

async function startEngine(options: EngineOptionsInput = {}): Promise<ModelEngine> {
    const engine = new ModelEngine({ ...fastOptions, ...options }, clock);
    await engine.start();
    return engine;
}

function messagesOf(content: string): readonly { readonly role: string; readonly content: string; }[] {
    return [{ role: "user", content }];
}

function completionOf(content: string): DeterministicCompletion {
    return new DeterministicCompletion("alpha", promptText({ messages: messagesOf(content) }));
}

async function chat(engine: ModelEngine, content: string, id: string, fields: object = {}): Promise<HttpResponse> {
    const body = { model: "alpha", stream: true, messages: messagesOf(content), ...fields };
    return callHttp(engine.address, "/v1/chat/completions", { headers: { "x-request-id": id }, body });
}

function numbersOf(chunks: readonly StreamChunk[]): readonly number[] {
    return chunks.map(chunk => chunk.token_number);
}

/** Polls a condition every 2 ms until it holds. */
async function waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await clock.sleep(2);
    }
}

describe("ModelEngine", () => {
    describe("completions", () => {
        it("streams all tokens with numbers, id, finish reason and usage", async t => {
            await using engine = await startEngine();
            const { chunks, done } = parseChunks(await chat(engine, "hello [answer-tokens: 12]", "r1"));
            t.true(done);
            t.deepEqual(numbersOf(chunks), [...Array(12).keys()]);
            t.is(textOf(chunks), completionOf("hello [answer-tokens: 12]").text(0, 12));
            t.true(chunks.every(chunk => chunk.id === "r1"));
            t.is(chunks.at(-1)?.choices[0].finish_reason, "stop");
            t.like(chunks.at(-1)?.usage, { completion_tokens: 12, cached_tokens: 0 });
        });

        it("responds to a text completion that is not streamed", async t => {
            await using engine = await startEngine();
            const body = { model: "alpha", prompt: "hello", max_tokens: 5 };
            const response = await callHttp(engine.address, "/v1/completions", { body });
            const { choices } = parseJsonBody<{ readonly choices: readonly { readonly text: string; }[]; }>(response);
            t.is(choices[0]?.text, expectedCompletion("alpha", "hello", 5));
        });

        it("resumes at any token, and the usage counts the whole completion", async t => {
            await using engine = await startEngine();
            const content = "hello [answer-tokens: 9]";
            const completion = completionOf(content);
            for (const start of [1, 8, 9]) {
                const fields = { resume_at: start, resume_text: completion.text(0, start) };
                const { chunks, done } = parseChunks(await chat(engine, content, `r${start}`, fields));
                t.true(done);
                t.is(textOf(chunks), completion.text(start, 9));
                t.is(chunks.at(-1)?.usage?.["completion_tokens"], 9);
            }
        });

        it("rejects a resume whose text does not match", async t => {
            await using engine = await startEngine();
            const response = await chat(engine, "hello", "r1", { resume_at: 2, resume_text: "something else" });
            t.is(response.status, 400);
        });
    });

    describe("cancel", () => {
        it("stops a request on a cancel call and on a closed connection", async t => {
            await using engine = await startEngine();
            const cut = chat(engine, "long [answer-tokens: 100000]", "by-call");
            await waitUntil(() => engine.runningRequests === 1);
            t.is((await callHttp(engine.address, "/v1/requests/by-call/cancel", { method: "POST" })).status, 204);
            await cut.catch(() => undefined);
            t.is((await callHttp(engine.address, "/v1/requests/by-call/cancel", { method: "POST" })).status, 404);

            const socket = connect(Number(engine.address.split(":")[1]), "127.0.0.1");
            const body = JSON.stringify({ model: "alpha", stream: true, prompt: "long [answer-tokens: 100000]" });
            const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n`;
            socket.write(head + body);
            await waitUntil(() => engine.runningRequests === 1);
            socket.destroy();
            await waitUntil(() => engine.runningRequests === 0);
            t.like(engine.figures(), { accepted: 2, cancelled: 2, finished: 0 });
        });

        it("stops generating tokens for a client that does not read", async t => {
            await using engine = await startEngine({ bufferedBytesPerStream: 1 });
            const socket = connect(Number(engine.address.split(":")[1]), "127.0.0.1");
            await once(socket, "connect");
            socket.pause();
            const body = JSON.stringify({ model: "alpha", stream: true, prompt: "long [answer-tokens: 100000]" });
            const id = "x".repeat(12_000);
            const head = `host: x\r\nx-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n`;
            socket.write(`POST /v1/completions HTTP/1.1\r\n${head}${body}`);
            await waitUntil(() => engine.runningRequests === 1);
            const other = await chat(engine, "other [answer-tokens: 3000]", "other");
            t.is(parseChunks(other).chunks.length, 3000);
            socket.destroy();
            await waitUntil(() => engine.runningRequests === 0);
            const { tokensMade } = engine.figures() as EngineStatistics;
            t.true(tokensMade - 3000 < 2000, `${tokensMade}`);
        });
    });

    describe("faults", () => {
        it("closes a stream after a number of tokens, once", async t => {
            await using engine = await startEngine();
            engine.faults.set({ kind: "breakStreams", afterTokens: 4, times: 1 });
            const first = await chat(engine, "hello [answer-tokens: 9]", "r1");
            const second = await chat(engine, "hello [answer-tokens: 9]", "r2");
            t.true(first.broken);
            t.deepEqual(numbersOf(parseChunks(first).chunks), [0, 1, 2, 3]);
            t.is(parseChunks(second).chunks.length, 9);
        });

        it("duplicates and skips a token", async t => {
            await using engine = await startEngine();
            engine.faults.set({ kind: "duplicateToken", tokenNumber: 1 });
            engine.faults.set({ kind: "skipToken", tokenNumber: 3 });
            const { chunks } = parseChunks(await chat(engine, "hello [answer-tokens: 5]", "r1"));
            t.deepEqual(numbersOf(chunks), [0, 1, 1, 2, 4]);
        });

        it("sends a chunk or response of another request with its id", async t => {
            await using engine = await startEngine();
            await chat(engine, "one [answer-tokens: 2]", "other");
            engine.faults.set({ kind: "crossAnswers", times: 1 });
            const { chunks } = parseChunks(await chat(engine, "two [answer-tokens: 2]", "own"));
            t.deepEqual(chunks.map(chunk => chunk.id), ["other", "own", "own"]);

            await chat(engine, "three", "whole-other", { stream: false });
            engine.faults.set({ kind: "crossAnswers", times: 1 });
            const whole = await chat(engine, "four", "whole-own", { stream: false });
            t.is(parseJsonBody<StreamChunk>(whole).id, "whole-other");
        });

        it("stalls while the fault set over HTTP is active, and continues afterwards", async t => {
            await using engine = await startEngine();
            const faults = "/stand-in/faults";
            t.is((await callHttp(engine.address, faults, { body: { kind: "stall" } })).status, 204);
            t.is((await callHttp(engine.address, faults, { body: { kind: "unknown" } })).status, 400);
            const response = chat(engine, "hello [answer-tokens: 2]", "r1");
            await waitUntil(() => engine.requestLog.count === 1);
            t.is((await callHttp(engine.address, "/v1/load")).status, 200);
            t.is(engine.requestLog.listAfter()[0]?.status, undefined);
            await callHttp(engine.address, faults, { method: "DELETE" });
            t.true(parseChunks(await response).done);
        });

        it("crashes during a stream, refuses connections, and recovers with an empty cache", async t => {
            await using engine = await startEngine();
            const cut = chat(engine, `${"x".repeat(400)} [answer-tokens: 100000]`, "r1");
            await waitUntil(() => engine.runningRequests === 1);
            engine.faults.set({ kind: "crash" });
            t.true((await cut.catch(() => ({ broken: true }))).broken);
            await t.throwsAsync(callHttp(engine.address, "/v1/load"), { code: "ECONNREFUSED" });
            await engine.recover();
            t.like(parseJsonBody(await callHttp(engine.address, "/v1/load")), {
                cacheTokensUsed: 0,
                runningRequests: 0,
            });
        });

        it("slows down by a factor without a change in the load report", async t => {
            const time = new AutoAdvancingClock();
            const options = {
                ...fastOptions,
                stepMilliseconds: 10,
                prefillMillisecondsPerToken: 0,
                reportLagMilliseconds: 50,
            };
            await using engine = new ModelEngine(options, time);
            await engine.start();
            const measured: unknown[] = [];
            for (const factor of [1, 3]) {
                engine.faults.set({ kind: "straggle", factor });
                const startedAt = time.now();
                await chat(engine, "hello [answer-tokens: 100]", "r1");
                const report = parseJsonBody<EngineLoadReport>(await callHttp(engine.address, "/v1/load"));
                measured.push({ took: time.now() - startedAt, tokensPerSecond: report.tokensPerSecond });
            }
            t.deepEqual(measured, [{ took: 1000, tokensPerSecond: 100 }, { took: 3000, tokensPerSecond: 100 }]);
        });

        it("delays a call", async t => {
            const time = new AutoAdvancingClock();
            await using engine = new ModelEngine(fastOptions, time);
            await engine.start();
            engine.faults.set({ kind: "answerLate", milliseconds: 5_000, times: 1 });
            const times: number[] = [];
            for (let call = 0; call < 2; call++) {
                t.is((await callHttp(engine.address, "/v1/load")).status, 200);
                times.push(time.now());
            }
            t.deepEqual(times, [5_000, 5_000]);
        });

        it("rejects work as leaving without executing it", async t => {
            await using engine = await startEngine();
            engine.faults.set({ kind: "refuseLeaving" });
            const response = await chat(engine, "hello", "r1");
            t.like(response.headers, { "x-not-run": "true", "x-leaving": "true" });
            t.is((engine.figures() as EngineStatistics).accepted, 0);
        });
    });

    describe("orders", () => {
        const order = (orderId: string, fencingNumber: number, action: object): object => {
            return { body: { orderId, fencingNumber, action } };
        };

        it("are executed once, also when the response was lost", async t => {
            await using engine = await startEngine({ orderMilliseconds: 0 });
            engine.faults.set({ kind: "loseAnswers", pathPrefix: "/v1/orders", times: 1 });
            const load = order("o1", 1, { kind: "loadModel", model: "beta", version: "2" });
            await t.throwsAsync(callHttp(engine.address, "/v1/orders", load));
            t.like(parseJsonBody(await callHttp(engine.address, "/v1/orders", load)), { orderId: "o1", state: "done" });
            t.like(parseJsonBody(await callHttp(engine.address, "/v1/orders/o1")), { state: "done" });
            t.deepEqual(engine.orders.received.map(received => received.outcome), ["acted", "repeated"]);
            t.deepEqual(engine.state.models.map(entry => entry.model), ["alpha", "beta"]);
        });

        for (const checksFencing of [true, false]) {
            it(`with an old fencing number are ${checksFencing ? "rejected" : "executed"}`, async t => {
                await using engine = await startEngine({ checksFencing, orderMilliseconds: 0 });
                await callHttp(engine.address, "/v1/orders", order("o1", 7, { kind: "setRole", role: "decode" }));
                const old = order("o2", 6, { kind: "setRole", role: "prefill" });
                const response = await callHttp(engine.address, "/v1/orders", old);
                t.is(response.status, checksFencing ? 409 : 200);
                t.is(engine.state.role, checksFencing ? "decode" : "prefill");
            });
        }

        it("to drain reject new work only", async t => {
            await using engine = await startEngine({ orderMilliseconds: 0 });
            const running = chat(engine, "hello [answer-tokens: 200]", "r1");
            await waitUntil(() => engine.runningRequests === 1);
            await callHttp(engine.address, "/v1/orders", order("o1", 1, { kind: "drain" }));
            t.is((await chat(engine, "hello", "r2")).headers["x-not-run"], "true");
            t.is(parseChunks(await running).chunks.length, 200);
        });
    });

    describe("cache", () => {
        it("publishes events with gaps, and imports the context of another engine", async t => {
            await using engine = await startEngine({ lostEventEvery: 2 });
            await using other = await startEngine();
            const content = "y".repeat(1024);
            await chat(engine, content, "r1", { max_tokens: 1 });
            const published = parseJsonBody<
                { readonly events: readonly { readonly number: number; }[]; readonly last: number; }
            >(
                await callHttp(engine.address, "/v1/cache-events?after=1"),
            );
            t.deepEqual([published.events.map(event => event.number), published.last], [[3], 4]);

            const exported = await callHttp(engine.address, "/v1/kv/export", { body: { requestId: "r1" } });
            const { handle, tokens } = parseJsonBody<{ readonly handle: string; readonly tokens: number; }>(exported);
            t.is(tokens, Math.ceil(promptText({ messages: messagesOf(content) }).length / 4) + 1);
            const body = { requestId: "r1", handle };
            t.is((await callHttp(other.address, "/v1/kv/import", { body })).status, 204);
            const fields = { resume_at: 1, resume_text: completionOf(content).text(0, 1), max_tokens: 2 };
            await chat(other, content, "r1", fields);
            await chat(other, content.replace("y", "z"), "r2", { max_tokens: 2 });
            t.like(other.figures(), { finished: 2, prefilledTokens: tokens - 1 });
        });
    });

    describe("record", () => {
        it("stores headers and bodies, so that a secret is found wherever it arrived", async t => {
            await using engine = await startEngine();
            await callHttp(engine.address, "/v1/load?key=secret-1");
            await callHttp(engine.address, "/v1/load", { headers: { "X-Other": "Bearer secret-2" } });
            await chat(engine, "secret-3", "r1", { max_tokens: 1 });
            const found = ["secret-1", "secret-2", "secret-3", "secret-4"].map(text =>
                engine.requestLog.findContaining(text).map(request => request.number)
            );
            t.deepEqual(found, [[1], [2], [3], []]);
        });
    });
});
