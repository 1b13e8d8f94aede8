import { readFile } from "node:fs/promises";
import { formatFailure } from "../../src/resultCode/resultCode.js";
import { parseManifest } from "../../src/version/parseManifest.js";
import { describe, it } from "../describe.js";

const faultyTeamCount = 10;

/** Creates a manifest in which each team has five lines and five faults: an unknown property and four bad values. */
function createFaultyManifest(): string {
    const teams = [...Array(faultyTeamCount).keys()].map(team =>
        [
            `{ "name": "Not Allowed ${team}",`,
            "  \"wieght\": 2,",
            "  \"keys\": \"none\",",
            "  \"weight\": -1,",
            "  \"limits\": { \"requestsPerSecond\": 0 } }",
        ].join("\n")
    );
    const rest = "\"number\": 1, \"classes\": [], \"routes\": [], \"pools\": [],"
        + " \"billing\": { \"currency\": \"AUD\", \"cutPerMillion\": 0 }";
    return `{ "teams": [\n${teams.join(",\n")}\n], ${rest} }`;
}

interface FaultyChangeCase {
    readonly title: string;
    /** Pattern to replace in the example manifest, and its replacement. */
    readonly change: readonly [RegExp, string];
    /** Patterns of the expected failures, in order. */
    readonly expected: readonly RegExp[];
}

const brokenTexts = [
    { title: "broken syntax", text: "{\n\"number\": 1,,\n}", expected: /^GH1001 m:2: / },
    { title: "an empty text", text: "", expected: /^GH1001 m:1: / },
    { title: "a list in place of an object", text: "[]", expected: /^GH1002 m:1: \(the whole file\): / },
] as const;

const faultyChanges: readonly FaultyChangeCase[] = [
    {
        title: "a duplicate property",
        change: [/"number": 1/, "\"number\": 1, \"number\": 2"],
        expected: [/^GH1005 m:\d+: number: /],
    },
    {
        title: "a missing property",
        change: [/"currency": "AUD",/, ""],
        expected: [/^GH1002 .*billing\.currency: is missing; expected string/],
    },
    {
        title: "an invalid item where a list or a keyword is allowed",
        change: [/"teams": "all"/, "\"teams\": [3]"],
        expected: [/^GH1002 .*routes\[0\]\.teams\[0\]: Invalid input: expected string/],
    },
    {
        title: "an unknown keyword where a list or a keyword is allowed",
        change: [/"teams": "all"/, "\"teams\": \"al\""],
        expected: [/^GH1002 .*routes\[0\]\.teams: .*expected "all" or .*expected array/],
    },
    {
        title: "a schema fault and an undefined reference together",
        change: [/"requestClass": "drafts",/, "\"requestClass\": \"draft\", \"x\": 1,"],
        expected: [/^GH1003 .*routes\[0\]\.x: unknown name/, /^GH1101 .*routes\[0\]\.requestClass: names draft, /],
    },
    {
        title: "a class that is defined twice",
        change: [/"name": "availability", "tier"/, "\"name\": \"drafts\", \"tier\""],
        expected: [
            /^GH1102 .*classes\[2\]\.name: drafts is defined twice/,
            /^GH1101 .*routes\[1\]\.requestClass: names availability/,
            /^GH1101 .*prices\[4\]\.requestClass: names availability/,
        ],
    },
];

function formatFaults(text: string): readonly string[] {
    const parsed = parseManifest("m", text);
    return parsed.err ? parsed.val.map(formatFailure) : [];
}

describe("parseManifest", () => {
    it("lists all 50 faults, each with result code, file, line and path", t => {
        const parsed = parseManifest("faulty.jsonc", createFaultyManifest());
        const lines = parsed.err ? parsed.val.map(formatFailure) : [];
        t.is(lines.length, 50);
        t.is(new Set(lines).size, 50);
        for (let team = 0; team < faultyTeamCount; team++) {
            const own = lines.filter(line => line.includes(` teams[${team}].`));
            const places = own.map(line =>
                /^(GH\d+) faulty\.jsonc:(\d+): teams\[\d+\]\.([\w.]+): /.exec(line)?.slice(1)
            );
            const first = 2 + 5 * team;
            t.deepEqual(places.sort((left, right) => Number(left?.[1]) - Number(right?.[1])), [
                ["GH1002", String(first), "name"],
                ["GH1003", String(first + 1), "wieght"],
                ["GH1002", String(first + 2), "keys"],
                ["GH1002", String(first + 3), "weight"],
                ["GH1002", String(first + 4), "limits.requestsPerSecond"],
            ]);
        }
    });

    it("suggests the nearest known name", t => {
        const parsed = parseManifest("faulty.jsonc", createFaultyManifest());
        const lines = parsed.err ? parsed.val.map(formatFailure) : [];
        t.is(
            lines.filter(line => line.includes("wieght: unknown name; nearest known name: weight.")).length,
            faultyTeamCount,
        );
    });

    for (const { title, text, expected } of brokenTexts) {
        it(`rejects ${title}`, t => {
            t.regex(formatFaults(text).join("\n"), expected);
        });
    }

    for (const { title, change, expected } of faultyChanges) {
        it(`rejects ${title}`, async t => {
            const example = await readFile("examples/tas-south/manifest.jsonc", "utf8");
            const lines = formatFaults(example.replace(...change));
            t.is(lines.length, expected.length, lines.join("\n"));
            expected.forEach((pattern, index) => {
                t.regex(lines[index] ?? "", pattern);
            });
        });
    }
});
