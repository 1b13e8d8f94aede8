import test from "ava";
import { CommandContext } from "../../src/operator/commandContext.js";
import { runCommandLine } from "../../src/operator/commandLine.js";
import { Cluster } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { runToCompletion } from "../../src/quickstart/runToCompletion.js";
import type { ProgramResult } from "../../src/quickstart/runToCompletion.js";
import { SystemClock } from "../../src/util/clock.js";
import { generateKey } from "../../src/util/generateKey.js";
import { describe, it, itSerially } from "../describe.js";

const cluster = new Cluster();

function manifest(number: number, engineAddress: string): Record<string, unknown> {
    const addresses = { engineAddresses: [engineAddress], serviceAddress: "127.0.0.1:9" };
    return { ...createQuickstartManifest({ number, keys, ...addresses }) };
}

const keys = [generateKey(), generateKey()] as const;
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

/** Context that records the output of a command. */
class RecordingContext extends CommandContext {
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
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Promise<ProgramResult> {
    const context = new RecordingContext(environment);
    const exitCode = await runCommandLine(args, "0.0.0", context);
    return { exitCode, output: context.output, errors: context.errors };
}

/** Runs a command against the cluster; `@NAME` stands for the path of a file in {@link files}. */
function runInCluster(args: readonly string[]): Promise<ProgramResult> {
    const resolvedArguments = args.map(part => part.startsWith("@") ? files[part.slice(1)] ?? part : part);
    const controls = cluster.operatorAddresses.join(",");
    return run(resolvedArguments, { GULLHALL_TOKEN: cluster.operatorToken, GULLHALL_CONTROL: controls });
}

interface CommandCase {
    readonly args: readonly string[];
    readonly exitCode: number;
    readonly output?: RegExp;
    readonly errors?: RegExp;
}

const digest = "c".repeat(64);

/** Run in this order against the same cluster; later cases depend on the versions that earlier ones create. */
const cases: readonly CommandCase[] = [
    {
        args: ["validate", "@first"],
        exitCode: 0,
        output: /^Valid: number 1, 2 teams, 3 classes, 2 routes, 2 pools\.$/m,
    },
    { args: ["validate", "@invalid"], exitCode: 1, errors: /^GH1003 .*extra: unknown name; nearest known name: /m },
    { args: ["diff", "@first"], exitCode: 0, output: /^\+ teams glenorchy$/m },
    { args: ["apply", "@first", "--wait"], exitCode: 0, output: /accepted, version 1\.\nIn force at every entry\.\n$/ },
    { args: ["apply", "@first"], exitCode: 0, output: /accepted before, version 1\./ },
    { args: ["apply", "@conflict"], exitCode: 1, errors: /^GH1111 Manifest number 1 .*\n$/ },
    { args: ["diff", "@second"], exitCode: 0, output: /^- routes drafting\n- routes bookings$/m },
    { args: ["diff", "@second", "--json"], exitCode: 0, output: /^\{"version":1,"repeated":false,"changes":\[/ },
    { args: ["key", "new"], exitCode: 0, output: /^key {5}ghk_\S+\ndigest {2}[0-9a-f]{64}\n$/ },
    { args: ["key", "new", "--issue"], exitCode: 2, errors: /^GH1500 .*--issue needs --team and --name.*\n$/ },
    {
        args: ["key", "new", "--issue", "--team", "glenorchy", "--name", "spare", "--wait"],
        exitCode: 0,
        output: /Key spare of team glenorchy: accepted, version 2\.\nIn force/,
    },
    { args: ["key", "new", "--issue", "--team", "nobody", "--name", "spare"], exitCode: 1, errors: /^GH1215 / },
    { args: ["key", "withdraw", "--team", "glenorchy", "--name", "spare"], exitCode: 0, output: /accepted, version 3/ },
    { args: ["key", "withdraw", "--team", "glenorchy", "--name", "spare"], exitCode: 1, errors: /^GH1503 / },
    { args: ["key", "withdraw", digest], exitCode: 0, output: /accepted, version 4/ },
    { args: ["key", "withdraw", digest], exitCode: 0, output: /accepted before/ },
    { args: ["key", "withdraw", "nonsense"], exitCode: 1, errors: /^GH1213 The request is not acceptable: .*\n$/ },
    {
        args: ["status"],
        exitCode: 0,
        output: /holds the lease of term \d+[^]*voter[^]*entry-3 +kingston-c[^]*engine-1/,
    },
    { args: ["members", "list"], exitCode: 0, output: /^(?:.*\n)(?:\S+ +(?:leader|voter) .*\n){3}$/ },
    { args: ["members", "remove", "nobody"], exitCode: 0, output: /had been removed/ },
    { args: ["members", "promote", "nobody"], exitCode: 1, errors: /^GH1230 / },
    { args: ["usage"], exitCode: 0, output: /^Open windows/ },
    {
        args: ["explain", "--team", "glenorchy", "--model", "drafting", "--class", "summaries"],
        exitCode: 0,
        output: /summaries: tier 3[^]*entry-1 +admitted +1 of 1 endpoints have room +engine-1/,
    },
    { args: ["explain", "--model", "drafting"], exitCode: 0, output: /^refused by version \d+.*GH1300/ },
    { args: ["explain", "--team", "glenorchy", "--model", "other"], exitCode: 0, output: /GH1302/ },
    { args: ["explain", "--team", "nobody", "--model", "drafting"], exitCode: 1, errors: /^GH1215 / },
    { args: ["explain", "--team", "nobody"], exitCode: 2, errors: /^GH1500 / },
    { args: ["drain", "entry-9"], exitCode: 1, errors: /^GH1505 / },
    { args: ["drain", "entry-3", "--wait"], exitCode: 0, output: /^Entry entry-3: gone\.$/m },
    { args: ["apply", "@second", "--wait"], exitCode: 0, output: /version 5\.\nIn force at every entry/ },
    { args: ["status", "--token-file", "@token"], exitCode: 1, errors: /^GH1202 / },
];

describe("gullhall against a running cluster", () => {
    for (const [index, { args, exitCode, output, errors }] of cases.entries()) {
        itSerially(`${index + 1}: ${args.join(" ")}`, async t => {
            const result = await runInCluster(args);
            t.is(result.exitCode, exitCode, result.errors);
            t.regex(result.output, output ?? /^$/);
            t.regex(result.errors, errors ?? /^$/);
        });
    }
});

describe("gullhall without a cluster", () => {
    for (
        const [args, exitCode, output, errors] of [
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
        it(`"${args.join(" ")}" exits with code ${exitCode}`, async t => {
            const result = await run(args);
            t.is(result.exitCode, exitCode);
            t.regex(result.output, output);
            t.regex(result.errors, errors);
        });
    }

    it("sets the exit code of the process", async t => {
        const result = await runToCompletion("gullhall", ["key", "--bad"]);
        t.is(result.exitCode, 2);
        t.regex(result.errors, /^GH1500 .*\n$/);
    });
});
