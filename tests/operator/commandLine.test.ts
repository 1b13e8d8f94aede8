import test from "ava";
import { runCommandLine } from "../../src/operator/commandLine.js";
import { CommandContext } from "../../src/operator/surroundings.js";
import { Cluster } from "../../src/quickstart/cluster.js";
import { runToEnd } from "../../src/quickstart/commandLine.js";
import type { ProgramRun } from "../../src/quickstart/commandLine.js";
import { quickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { SystemClock } from "../../src/util/clock.js";
import { createKey } from "../../src/util/createKey.js";
import { describe, it, itSerially } from "../describe.js";

const cluster = new Cluster();

function manifest(number: number, engineAddress: string): Record<string, unknown> {
    const addresses = { engineAddresses: [engineAddress], serviceAddress: "127.0.0.1:9" };
    return { ...quickstartManifest({ number, keys, ...addresses }) };
}

const keys = [createKey(), createKey()] as const;
let files: Readonly<Record<string, string>> = {};

test.before(async () => {
    await cluster.start();
    const engineAddress = await cluster.startStandIn("engine", "engine-1", { models: ["drafting"] });
    const first = manifest(1, engineAddress);
    files = {
        first: await cluster.writeFile("first.json", first),
        conflict: await cluster.writeFile("conflict.json", { ...first, routes: [] }),
        second: await cluster.writeFile("second.json", { ...first, number: 2, routes: [] }),
        invalid: await cluster.writeFile("invalid.json", { ...first, pools: [], extra: 1 }),
        token: await cluster.writeFile("token", 0),
    };
});

test.after.always(() => cluster[Symbol.asyncDispose]());

/** Surroundings that keep what is written. */
class RecordedSurroundings extends CommandContext {
    override readonly clock = new SystemClock();
    output = "";
    errors = "";

    constructor(override readonly environment: Readonly<Record<string, string>>) {
        super();
    }

    override writeOutput(text: string): void {
        this.output += text;
    }

    override writeError(text: string): void {
        this.errors += text;
    }
}

async function run(
    line: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Promise<ProgramRun> {
    const surroundings = new RecordedSurroundings(environment);
    const exitCode = await runCommandLine(line, "0.0.0", surroundings);
    return { exitCode, output: surroundings.output, errors: surroundings.errors };
}

function runInCluster(line: readonly string[]): Promise<ProgramRun> {
    const named = line.map(part => part.startsWith("@") ? files[part.slice(1)] ?? part : part);
    const controls = cluster.operatorAddresses.join(",");
    return run(named, { GULLHALL_TOKEN: cluster.operatorToken, GULLHALL_CONTROL: controls });
}

interface Case {
    readonly line: readonly string[];
    readonly exitCode: number;
    readonly output?: RegExp;
    readonly errors?: RegExp;
}

const digest = "c".repeat(64);

/** Run one after the other against one cluster. */
const cases: readonly Case[] = [
    {
        line: ["validate", "@first"],
        exitCode: 0,
        output: /^Valid: number 1, 2 teams, 3 classes, 2 routes, 2 pools\.$/m,
    },
    { line: ["validate", "@invalid"], exitCode: 1, errors: /^GH1003 .*extra: unknown name; nearest known name: /m },
    { line: ["diff", "@first"], exitCode: 0, output: /^\+ teams glenorchy$/m },
    { line: ["apply", "@first", "--wait"], exitCode: 0, output: /accepted, version 1\.\nIn force at every entry\.\n$/ },
    { line: ["apply", "@first"], exitCode: 0, output: /accepted before, version 1\./ },
    { line: ["apply", "@conflict"], exitCode: 1, errors: /^GH1111 Manifest number 1 .*\n$/ },
    { line: ["diff", "@second"], exitCode: 0, output: /^- routes drafting\n- routes bookings$/m },
    { line: ["diff", "@second", "--json"], exitCode: 0, output: /^\{"version":1,"repeated":false,"changes":\[/ },
    { line: ["key", "new"], exitCode: 0, output: /^key {5}ghk_\S+\ndigest {2}[0-9a-f]{64}\n$/ },
    { line: ["key", "new", "--issue"], exitCode: 2, errors: /^GH1500 .*--issue needs --team and --name.*\n$/ },
    {
        line: ["key", "new", "--issue", "--team", "glenorchy", "--name", "spare", "--wait"],
        exitCode: 0,
        output: /Key spare of team glenorchy: accepted, version 2\.\nIn force/,
    },
    { line: ["key", "new", "--issue", "--team", "nobody", "--name", "spare"], exitCode: 1, errors: /^GH1215 / },
    { line: ["key", "withdraw", "--team", "glenorchy", "--name", "spare"], exitCode: 0, output: /accepted, version 3/ },
    { line: ["key", "withdraw", "--team", "glenorchy", "--name", "spare"], exitCode: 1, errors: /^GH1503 / },
    { line: ["key", "withdraw", digest], exitCode: 0, output: /accepted, version 4/ },
    { line: ["key", "withdraw", digest], exitCode: 0, output: /accepted before/ },
    { line: ["key", "withdraw", "nonsense"], exitCode: 1, errors: /^GH1213 The request is not acceptable: .*\n$/ },
    {
        line: ["status"],
        exitCode: 0,
        output: /holds the lease of term \d+[^]*voter[^]*entry-3 +kingston-c[^]*engine-1/,
    },
    { line: ["members", "list"], exitCode: 0, output: /^(?:.*\n)(?:\S+ +(?:leader|voter) .*\n){3}$/ },
    { line: ["members", "remove", "nobody"], exitCode: 0, output: /had been removed/ },
    { line: ["members", "promote", "nobody"], exitCode: 1, errors: /^GH1230 / },
    { line: ["usage"], exitCode: 0, output: /^Open windows/ },
    {
        line: ["explain", "--team", "glenorchy", "--model", "drafting", "--class", "summaries"],
        exitCode: 0,
        output: /summaries: tier 3[^]*entry-1 +admitted +1 of 1 endpoints have room +engine-1/,
    },
    { line: ["explain", "--model", "drafting"], exitCode: 0, output: /^refused by version \d+.*GH1300/ },
    { line: ["explain", "--team", "glenorchy", "--model", "other"], exitCode: 0, output: /GH1302/ },
    { line: ["explain", "--team", "nobody", "--model", "drafting"], exitCode: 1, errors: /^GH1215 / },
    { line: ["explain", "--team", "nobody"], exitCode: 2, errors: /^GH1500 / },
    { line: ["drain", "entry-9"], exitCode: 1, errors: /^GH1505 / },
    { line: ["drain", "entry-3", "--wait"], exitCode: 0, output: /^Entry entry-3: gone\.$/m },
    { line: ["apply", "@second", "--wait"], exitCode: 0, output: /version 5\.\nIn force at every entry/ },
    { line: ["status", "--token-file", "@token"], exitCode: 1, errors: /^GH1202 / },
];

describe("gullhall against a running cluster", () => {
    for (const [index, { line, exitCode, output, errors }] of cases.entries()) {
        itSerially(`${index + 1}: ${line.join(" ")}`, async t => {
            const ended = await runInCluster(line);
            t.is(ended.exitCode, exitCode, ended.errors);
            t.regex(ended.output, output ?? /^$/);
            t.regex(ended.errors, errors ?? /^$/);
        });
    }
});

describe("gullhall without a cluster", () => {
    for (
        const [line, exitCode, output, errors] of [
            [["--help"], 0, /^gullhall <command>[^]*gullhall members/, /^$/],
            [["--version"], 0, /^0\.0\.0\n$/, /^$/],
            [["frobnicate"], 2, /^$/, /^GH1500 .*frobnicate.*\n$/],
            [[], 2, /^$/, /^GH1500 /],
            [["key"], 2, /^$/, /^GH1500 /],
            [["key", "withdraw"], 2, /^$/, /^GH1500 /],
            [["status"], 1, /^$/, /^GH1502 /],
            [["status", "--control", "127.0.0.1:9"], 1, /^$/, /^GH1501 /],
            [["validate", "nowhere.json"], 1, /^$/, /^GH1000 .*\n$/],
            [["validate", "nowhere.json", "--json"], 1, /^$/, /^\{"errors":\[\{"code":"GH1000",/],
            [["--check-settings", "--settings", "nowhere.json"], 2, /^$/, /^GH1000 /],
        ] as const
    ) {
        it(`answers "${line.join(" ")}" with exit code ${exitCode}`, async t => {
            const ended = await run(line);
            t.is(ended.exitCode, exitCode);
            t.regex(ended.output, output);
            t.regex(ended.errors, errors);
        });
    }

    it("gives its exit code to the process", async t => {
        const ended = await runToEnd("gullhall", ["key", "--bad"]);
        t.is(ended.exitCode, 2);
        t.regex(ended.errors, /^GH1500 .*\n$/);
    });
});
