import { once } from "node:events";
import { connect } from "node:net";
import { AnswerPlan, expectedAnswer } from "../../../src/standIn/modelEngine/answerPlan.js";
import { promptText } from "../../../src/standIn/modelEngine/completionBody.js";
import type { EngineFigures } from "../../../src/standIn/modelEngine/engineFigures.js";
import type { EngineOptionsInput } from "../../../src/standIn/modelEngine/engineOptions.js";
import type { EngineLoadReport } from "../../../src/standIn/modelEngine/loadReport.js";
import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { callHttp, chunksOf, jsonOf, textOf } from "../httpCaller.js";
import type { HttpAnswer, StreamChunk } from "../httpCaller.js";
import { JumpClock } from "../jumpClock.js";

const clock = new SystemClock();
const quick = { models: ["alpha"], stepMilliseconds: 1, stepMillisecondsPerRequest: 0, reportLagMilliseconds: 0 };

async function startEngine(options: EngineOptionsInput = {}): Promise<ModelEngine> {
    const engine = new ModelEngine({ ...quick, ...options }, clock);
    await engine.start();
    return engine;
}

function messagesOf(content: string): readonly { readonly role: string; readonly content: string; }[] {
    return [{ role: "user", content }];
}

function planOf(content: string): AnswerPlan {
    return new AnswerPlan("alpha", promptText({ messages: messagesOf(content) }));
}

async function chat(engine: ModelEngine, content: string, id: string, fields: object = {}): Promise<HttpAnswer> {
    const body = { model: "alpha", stream: true, messages: messagesOf(content), ...fields };
    return callHttp(engine.address, "/v1/chat/completions", { headers: { "x-request-id": id }, body });
}

function numbersOf(chunks: readonly StreamChunk[]): readonly number[] {
    return chunks.map(chunk => chunk.token_number);
}

/** Waits until a condition holds, asking each few milliseconds. */
async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await clock.sleep(2);
    }
}

describe("ModelEngine", () => {
    describe("answers", () => {
        it("streams the whole answer with numbers, id, end and usage", async t => {
            await using engine = await startEngine();
            const { chunks, done } = chunksOf(await chat(engine, "hello [answer-tokens: 12]", "r1"));
            t.true(done);
            t.deepEqual(numbersOf(chunks), [...Array(12).keys()]);
            t.is(textOf(chunks), planOf("hello [answer-tokens: 12]").text(0, 12));
            t.true(chunks.every(chunk => chunk.id === "r1"));
            t.is(chunks.at(-1)?.choices[0].finish_reason, "stop");
            t.like(chunks.at(-1)?.usage, { completion_tokens: 12, cached_tokens: 0 });
        });

        it("answers at once what is not streamed, and text completions alike", async t => {
            await using engine = await startEngine();
            const body = { model: "alpha", prompt: "hello", max_tokens: 5 };
            const answer = await callHttp(engine.address, "/v1/completions", { body });
            const { choices } = jsonOf<{ readonly choices: readonly { readonly text: string; }[]; }>(answer);
            t.is(choices[0]?.text, expectedAnswer("alpha", "hello", 5));
        });

        it("resumes at any token and counts the whole answer", async t => {
            await using engine = await startEngine();
            const content = "hello [answer-tokens: 9]";
            const plan = planOf(content);
            for (const start of [1, 8, 9]) {
                const fields = { resume_at: start, resume_text: plan.text(0, start) };
                const { chunks, done } = chunksOf(await chat(engine, content, `r${start}`, fields));
                t.true(done);
                t.is(textOf(chunks), plan.text(start, 9));
                t.is(chunks.at(-1)?.usage?.["completion_tokens"], 9);
            }
        });

        it("refuses a resume whose text is not its own", async t => {
            await using engine = await startEngine();
            const answer = await chat(engine, "hello", "r1", { resume_at: 2, resume_text: "something else" });
            t.is(answer.status, 400);
        });
    });

    describe("cancel", () => {
        it("stops a request by call and by a closed connection", async t => {
            await using engine = await startEngine();
            const cut = chat(engine, "long [answer-tokens: 100000]", "by-call");
            await until(() => engine.runningRequests === 1);
            t.is((await callHttp(engine.address, "/v1/requests/by-call/cancel", { method: "POST" })).status, 204);
            await cut.catch(() => undefined);
            t.is((await callHttp(engine.address, "/v1/requests/by-call/cancel", { method: "POST" })).status, 404);

            const socket = connect(Number(engine.address.split(":")[1]), "127.0.0.1");
            const body = JSON.stringify({ model: "alpha", stream: true, prompt: "long [answer-tokens: 100000]" });
            const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n`;
            socket.write(head + body);
            await until(() => engine.runningRequests === 1);
            socket.destroy();
            await until(() => engine.runningRequests === 0);
            t.like(engine.figures(), { accepted: 2, cancelled: 2, finished: 0 });
        });

        it("stops making tokens for a reader that does not read", async t => {
            await using engine = await startEngine({ bufferedBytesPerStream: 1 });
            const socket = connect(Number(engine.address.split(":")[1]), "127.0.0.1");
            await once(socket, "connect");
            socket.pause();
            const body = JSON.stringify({ model: "alpha", stream: true, prompt: "long [answer-tokens: 100000]" });
            const id = "x".repeat(12_000);
            const head = `host: x\r\nx-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n`;
            socket.write(`POST /v1/completions HTTP/1.1\r\n${head}${body}`);
            await until(() => engine.runningRequests === 1);
            const other = await chat(engine, "other [answer-tokens: 3000]", "other");
            t.is(chunksOf(other).chunks.length, 3000);
            socket.destroy();
            await until(() => engine.runningRequests === 0);
            const { tokensMade } = engine.figures() as EngineFigures;
            t.true(tokensMade - 3000 < 2000, `${tokensMade}`);
        });
    });

    describe("faults", () => {
        it("breaks a stream after its tokens, once", async t => {
            await using engine = await startEngine();
            engine.faults.set({ kind: "breakStreams", afterTokens: 4, times: 1 });
            const first = await chat(engine, "hello [answer-tokens: 9]", "r1");
            const second = await chat(engine, "hello [answer-tokens: 9]", "r2");
            t.true(first.broken);
            t.deepEqual(numbersOf(chunksOf(first).chunks), [0, 1, 2, 3]);
            t.is(chunksOf(second).chunks.length, 9);
        });

        it("repeats and leaves out a token", async t => {
            await using engine = await startEngine();
            engine.faults.set({ kind: "duplicateToken", tokenNumber: 1 });
            engine.faults.set({ kind: "skipToken", tokenNumber: 3 });
            const { chunks } = chunksOf(await chat(engine, "hello [answer-tokens: 5]", "r1"));
            t.deepEqual(numbersOf(chunks), [0, 1, 1, 2, 4]);
        });

        it("crosses answers under the other request's id", async t => {
            await using engine = await startEngine();
            await chat(engine, "one [answer-tokens: 2]", "other");
            engine.faults.set({ kind: "crossAnswers", times: 1 });
            const { chunks } = chunksOf(await chat(engine, "two [answer-tokens: 2]", "own"));
            t.deepEqual(chunks.map(chunk => chunk.id), ["other", "own", "own"]);

            await chat(engine, "three", "whole-other", { stream: false });
            engine.faults.set({ kind: "crossAnswers", times: 1 });
            const whole = await chat(engine, "four", "whole-own", { stream: false });
            t.is(jsonOf<StreamChunk>(whole).id, "whole-other");
        });

        it("is told over HTTP to stall, and goes on when the fault is lifted", async t => {
            await using engine = await startEngine();
            const faults = "/stand-in/faults";
            t.is((await callHttp(engine.address, faults, { body: { kind: "stall" } })).status, 204);
            t.is((await callHttp(engine.address, faults, { body: { kind: "unknown" } })).status, 400);
            const answer = chat(engine, "hello [answer-tokens: 2]", "r1");
            await until(() => engine.record.count === 1);
            t.is((await callHttp(engine.address, "/v1/load")).status, 200);
            t.is(engine.record.after()[0]?.status, undefined);
            await callHttp(engine.address, faults, { method: "DELETE" });
            t.true(chunksOf(await answer).done);
        });

        it("crashes in the middle of a stream, refuses connections, and recovers with an empty cache", async t => {
            await using engine = await startEngine();
            const cut = chat(engine, `${"x".repeat(400)} [answer-tokens: 100000]`, "r1");
            await until(() => engine.runningRequests === 1);
            engine.faults.set({ kind: "crash" });
            t.true((await cut.catch(() => ({ broken: true }))).broken);
            await t.throwsAsync(callHttp(engine.address, "/v1/load"), { code: "ECONNREFUSED" });
            await engine.recover();
            t.like(jsonOf(await callHttp(engine.address, "/v1/load")), { cacheTokensUsed: 0, runningRequests: 0 });
        });

        it("takes longer by a factor, while the load report stays healthy", async t => {
            const time = new JumpClock();
            const options = {
                ...quick,
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
                const report = jsonOf<EngineLoadReport>(await callHttp(engine.address, "/v1/load"));
                measured.push({ took: time.now() - startedAt, tokensPerSecond: report.tokensPerSecond });
            }
            t.deepEqual(measured, [{ took: 1000, tokensPerSecond: 100 }, { took: 3000, tokensPerSecond: 100 }]);
        });

        it("handles a call late", async t => {
            const time = new JumpClock();
            await using engine = new ModelEngine(quick, time);
            await engine.start();
            engine.faults.set({ kind: "answerLate", milliseconds: 5_000, times: 1 });
            const times: number[] = [];
            for (let call = 0; call < 2; call++) {
                t.is((await callHttp(engine.address, "/v1/load")).status, 200);
                times.push(time.now());
            }
            t.deepEqual(times, [5_000, 5_000]);
        });

        it("refuses work as leaving, truly not run", async t => {
            await using engine = await startEngine();
            engine.faults.set({ kind: "refuseLeaving" });
            const answer = await chat(engine, "hello", "r1");
            t.like(answer.headers, { "x-not-run": "true", "x-leaving": "true" });
            t.is((engine.figures() as EngineFigures).accepted, 0);
        });
    });

    describe("orders", () => {
        const order = (orderId: string, fencingNumber: number, action: object): object => {
            return { body: { orderId, fencingNumber, action } };
        };

        it("act once, also when the answer was lost", async t => {
            await using engine = await startEngine({ orderMilliseconds: 0 });
            engine.faults.set({ kind: "loseAnswers", pathPrefix: "/v1/orders", times: 1 });
            const load = order("o1", 1, { kind: "loadModel", model: "beta", version: "2" });
            await t.throwsAsync(callHttp(engine.address, "/v1/orders", load));
            t.like(jsonOf(await callHttp(engine.address, "/v1/orders", load)), { orderId: "o1", state: "done" });
            t.like(jsonOf(await callHttp(engine.address, "/v1/orders/o1")), { state: "done" });
            t.deepEqual(engine.orders.received.map(received => received.outcome), ["acted", "repeated"]);
            t.deepEqual(engine.state.models.map(entry => entry.model), ["alpha", "beta"]);
        });

        for (const checksFencing of [true, false]) {
            it(`with an old fencing number are ${checksFencing ? "refused" : "obeyed"}`, async t => {
                await using engine = await startEngine({ checksFencing, orderMilliseconds: 0 });
                await callHttp(engine.address, "/v1/orders", order("o1", 7, { kind: "setRole", role: "decode" }));
                const old = order("o2", 6, { kind: "setRole", role: "prefill" });
                const answer = await callHttp(engine.address, "/v1/orders", old);
                t.is(answer.status, checksFencing ? 409 : 200);
                t.is(engine.state.role, checksFencing ? "decode" : "prefill");
            });
        }

        it("to drain turn away new work alone", async t => {
            await using engine = await startEngine({ orderMilliseconds: 0 });
            const running = chat(engine, "hello [answer-tokens: 200]", "r1");
            await until(() => engine.runningRequests === 1);
            await callHttp(engine.address, "/v1/orders", order("o1", 1, { kind: "drain" }));
            t.is((await chat(engine, "hello", "r2")).headers["x-not-run"], "true");
            t.is(chunksOf(await running).chunks.length, 200);
        });
    });

    describe("cache", () => {
        it("publishes events with gaps, and imports context of another engine", async t => {
            await using engine = await startEngine({ lostEventEvery: 2 });
            await using other = await startEngine();
            const content = "y".repeat(1024);
            await chat(engine, content, "r1", { max_tokens: 1 });
            const published = jsonOf<
                { readonly events: readonly { readonly number: number; }[]; readonly last: number; }
            >(
                await callHttp(engine.address, "/v1/cache-events?after=1"),
            );
            t.deepEqual([published.events.map(event => event.number), published.last], [[3], 4]);

            const exported = await callHttp(engine.address, "/v1/kv/export", { body: { requestId: "r1" } });
            const { handle, tokens } = jsonOf<{ readonly handle: string; readonly tokens: number; }>(exported);
            t.is(tokens, Math.ceil(promptText({ messages: messagesOf(content) }).length / 4) + 1);
            const body = { requestId: "r1", handle };
            t.is((await callHttp(other.address, "/v1/kv/import", { body })).status, 204);
            const fields = { resume_at: 1, resume_text: planOf(content).text(0, 1), max_tokens: 2 };
            await chat(other, content, "r1", fields);
            await chat(other, content.replace("y", "z"), "r2", { max_tokens: 2 });
            t.like(other.figures(), { finished: 2, prefilledTokens: tokens - 1 });
        });
    });

    describe("record", () => {
        it("keeps headers and bodies, so that a secret is found wherever it arrived", async t => {
            await using engine = await startEngine();
            await callHttp(engine.address, "/v1/load?key=secret-1");
            await callHttp(engine.address, "/v1/load", { headers: { "X-Other": "Bearer secret-2" } });
            await chat(engine, "secret-3", "r1", { max_tokens: 1 });
            const found = ["secret-1", "secret-2", "secret-3", "secret-4"].map(text =>
                engine.record.containing(text).map(request => request.number)
            );
            t.deepEqual(found, [[1], [2], [3], []]);
        });
    });
});
