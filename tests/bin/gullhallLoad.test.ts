import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { ModelEngine } from "../../src/standIn/modelEngine/modelEngine.js";
import { SystemClock } from "../../src/util/clock.js";
import { DisposableStore } from "../../src/util/disposableStore.js";
import { describe, it } from "../describe.js";

interface ExitResult {
    readonly code: number;
    readonly output: string;
}

function runProgram(...commandLine: readonly string[]): Promise<ExitResult> {
    return new Promise(resolve => {
        execFile(process.execPath, ["dist/src/bin/gullhallLoad.js", ...commandLine], (error, output) => {
            resolve({ code: typeof error?.code === "number" ? error.code : 0, output });
        });
    });
}

async function runPlan(entry: string): Promise<ExitResult> {
    await using store = new DisposableStore();
    const folder = await mkdtemp(join(tmpdir(), "gullhall-load-"));
    store.defer(() => rm(folder, { recursive: true }));
    const flow = {
        kind: "chat",
        team: "north",
        key: "key",
        requestClass: "drafts",
        model: "alpha",
        requestsPerSecond: 40,
        promptTokens: { median: 40 },
        outputTokens: { median: 5 },
        target: { totalMilliseconds: 60_000 },
    };
    const plan = { seed: 3, seconds: 0.5, entries: [entry], flows: [flow] };
    await writeFile(join(folder, "plan.json"), JSON.stringify(plan));
    return await runProgram("--plan", join(folder, "plan.json"), "--json");
}

describe("gullhall-load", () => {
    it("reports as JSON, and exits with 0 if all responses were correct, with 1 if one was wrong", async t => {
        await using engine = new ModelEngine({ models: ["alpha"], stepMilliseconds: 1 }, new SystemClock());
        await engine.start();
        const correctRun = await runPlan(engine.address);
        t.is(correctRun.code, 0);
        t.like(JSON.parse(correctRun.output), { seed: 3, flows: [{ team: "north", attainment: 1 }] });
        engine.faults.set({ kind: "skipToken", tokenNumber: 1 });
        t.is((await runPlan(engine.address)).code, 1);
    });

    it("rejects an entry that is not on loopback, and a missing plan", async t => {
        t.is((await runPlan("10.0.0.1:80")).code, 2);
        t.is((await runProgram("--plan", "missing.json")).code, 2);
    });
});
