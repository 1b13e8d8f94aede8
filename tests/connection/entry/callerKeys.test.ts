import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { generateKey } from "../../../src/util/generateKey.js";
import { describe, it } from "../../describe.js";
import { ask, chatCall, chatText, codeOf, collect, open, streamedText } from "./testCaller.js";
import type { TestCall } from "./testCaller.js";
import { TestEntry } from "./testEntry.js";

interface TestSetup {
    readonly entry: TestEntry;
    readonly engine: ModelEngine;
    readonly service: PlainService;
}

async function withSetup(testBody: (setup: TestSetup) => Promise<void>, options: object = {}): Promise<void> {
    await using store = new DisposableStore();
    const clock = new SystemClock();
    const engine = store.add(new ModelEngine({ models: ["alpha"], ...options }, clock));
    const service = store.add(new PlainService({}, clock));
    await Promise.all([engine.start(), service.start()]);
    const slots = "maximumRunning" in options ? 1 : 64;
    const endpoints = { engines: [engine.address], services: [service.address], slots };
    await testBody({ entry: store.add(await TestEntry.start(endpoints)), engine, service });
}

/** Replaces the first character with its JSON escape sequence; the parsed value stays the same. */
function escapeFirstCharacter(text: string): string {
    return text.replace(/^./, first => `\\u${first.charCodeAt(0).toString(16).padStart(4, "0")}`);
}

describe("caller's key", () => {
    const places: readonly [title: string, call: (key: string) => TestCall][] = [
        ["path", key => ({ method: "GET", path: `/bookings/${key}` })],
        ["query", key => ({ method: "GET", path: `/bookings/x?api_key=${key}` })],
        ["escaped query", key => ({ method: "GET", path: `/bookings/x?api_key=%67${key.slice(1)}` })],
        ["allow-listed header", key => ({ path: "/bookings/x", body: "{}", headers: { "idempotency-key": key } })],
        ["body", key => ({ path: "/bookings/x", body: JSON.stringify({ key }) })],
        ["escaped body", key => ({ path: "/bookings/x", body: `{"key":"${escapeFirstCharacter(key)}"}` })],
        ["prompt", key => chatCall(3, key)],
        [
            "escaped prompt",
            key => ({ ...chatCall(3), body: chatCall(3, key).body?.replace(key, escapeFirstCharacter(key)) ?? "" }),
        ],
    ];
    for (const [title, call] of places) {
        it(`never reaches an endpoint from the ${title}`, t =>
            withSetup(async ({ entry, engine, service }) => {
                const refused = await ask(entry, call(entry.key));
                t.deepEqual([refused.status, codeOf(refused)], [400, "keyInRequest"]);
                const suffix = entry.key.slice(8);
                t.deepEqual(
                    [...engine.requestLog.findContaining(suffix), ...service.requestLog.findContaining(suffix)],
                    [],
                );
            }));
    }

    it("never reaches an endpoint in a header, allow-listed or not, of a request that is served", t =>
        withSetup(async ({ entry, engine, service }) => {
            const headers = { "x-api-key": entry.key, cookie: `key=${entry.key}`, "x-forwarded-for": entry.key };
            t.is((await ask(entry, { path: "/bookings/x", body: "{}", headers })).status, 200);
            t.is((await ask(entry, { ...chatCall(3), headers })).status, 200);
            t.deepEqual([
                ...engine.requestLog.findContaining(entry.key),
                ...service.requestLog.findContaining(entry.key),
            ], []);
        }));

    it("does not refuse text that only has the format of a key", t =>
        withSetup(async ({ entry }) => {
            t.is((await ask(entry, chatCall(3, generateKey()))).status, 200);
        }));

    it("is refused for new and queued requests once withdrawn; a response that has begun is finished", t =>
        withSetup(async ({ entry }) => {
            const streaming = await open(entry, chatCall(100));
            const queued = ask(entry, chatCall(10, "queued"));
            await entry.waitUntil(() => entry.engines.waiting === 1);
            entry.configure(manifest => ({ ...manifest, teams: manifest.teams.map(team => ({ ...team, keys: [] })) }));
            const refused = await queued;
            t.deepEqual([refused.status, codeOf(refused)], [401, "keyWithdrawn"]);
            t.is((await ask(entry, chatCall(3))).status, 401);
            t.is(streamedText(await collect(streaming)), chatText(100));
        }, { maximumRunning: 1 }));
});
