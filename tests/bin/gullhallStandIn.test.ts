import { spawn } from "node:child_process";
import type { ChildProcessWithoutNullStreams } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, it } from "../describe.js";
import { callHttp, parseChunks, parseJsonBody } from "../standIn/httpCaller.js";

interface ServingLine {
    readonly role: string;
    readonly name: string;
    readonly address: string;
}

function startProgram(...commandLine: readonly string[]): ChildProcessWithoutNullStreams {
    return spawn(process.execPath, ["dist/src/bin/gullhallStandIn.js", ...commandLine]);
}

async function readServingLine(program: ChildProcessWithoutNullStreams): Promise<ServingLine> {
    const [line] = await once(createInterface(program.stdout), "line") as [string];
    return JSON.parse(line) as ServingLine;
}

describe("gullhall-stand-in", () => {
    for (const role of ["engine", "service", "platform"]) {
        it(`serves as ${role} and exits on SIGTERM`, async t => {
            const program = startProgram(role, "--name", "one");
            const serving = await readServingLine(program);
            t.like(serving, { role, name: "one" });
            t.is((await callHttp(serving.address, "/stand-in/faults")).status, 200);
            program.kill("SIGTERM");
            const [code] = await once(program, "exit") as [number];
            t.is(code, 0);
        });
    }

    it("finishes a running response before it exits", async t => {
        const program = startProgram("engine", "--options", JSON.stringify({ models: ["alpha"], stepMilliseconds: 2 }));
        const { address } = await readServingLine(program);
        const body = { model: "alpha", stream: true, prompt: "hello [answer-tokens: 100]" };
        const answer = callHttp(address, "/v1/completions", { body });
        for (let accepted = 0; accepted === 0;) {
            ({ accepted } = parseJsonBody<{ readonly accepted: number; }>(
                await callHttp(address, "/stand-in/figures"),
            ));
        }
        program.kill("SIGTERM");
        const { chunks, done } = parseChunks(await answer);
        t.true(done);
        t.is(chunks.length, 100);
        await once(program, "exit");
    });

    // Guards against a further signal that cuts the responses of a stand-in that stops.
    it("finishes a running response though more signals arrive", async t => {
        const program = startProgram("engine", "--options", JSON.stringify({ models: ["alpha"], stepMilliseconds: 5 }));
        const { address } = await readServingLine(program);
        const ended = once(program, "exit");
        const body = { model: "alpha", stream: true, prompt: "hello [answer-tokens: 200]" };
        const answer = callHttp(address, "/v1/completions", { body });
        for (let accepted = 0; accepted === 0;) {
            ({ accepted } = parseJsonBody<{ readonly accepted: number; }>(
                await callHttp(address, "/stand-in/figures"),
            ));
        }
        for (const signal of ["SIGHUP", "SIGTERM", "SIGTERM", "SIGINT", "SIGHUP", "SIGTERM"] as const) {
            program.kill(signal);
            await sleep(20);
        }
        const { chunks, done } = parseChunks(await answer);
        t.true(done);
        t.is(chunks.length, 200);
        t.deepEqual(await ended, [0, null]); // eslint-disable-line no-restricted-syntax -- null means no signal
    });

    for (const parameters of [[], ["oven"], ["engine", "--unknown"], ["engine", "--options", "{\"models\": 3}"]]) {
        it(`rejects the command line [${parameters.join(" ")}]`, async t => {
            const [code] = await once(startProgram(...parameters), "exit") as [number];
            t.is(code, 2);
        });
    }
});
