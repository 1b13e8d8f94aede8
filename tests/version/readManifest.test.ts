import { describeFailure } from "../../src/resultCode/resultCode.js";
import { readManifest } from "../../src/version/readManifest.js";
import { describe, it } from "../describe.js";

const faultyTeams = 10;

/** Each faulty team takes five lines and has five faults: an unknown name and four bad values. */
function faultyManifest(): string {
    const teams = Array.from({ length: faultyTeams }, () =>
        [
            "{ \"name\": \"Not Allowed\",",
            "  \"wieght\": 2,",
            "  \"keys\": \"none\",",
            "  \"weight\": -1,",
            "  \"limits\": { \"requestsPerSecond\": 0 } }",
        ].join("\n"));
    const rest = "\"number\": 1, \"classes\": [], \"routes\": [], \"pools\": [],"
        + " \"billing\": { \"currency\": \"AUD\", \"cutPerMillion\": 0 }";
    return `{ "teams": [\n${teams.join(",\n")}\n], ${rest} }`;
}

describe("readManifest", () => {
    it("lists all of 50 faults, each with number, file, line and path", t => {
        const read = readManifest("faulty.jsonc", faultyManifest());
        const lines = read.err ? read.val.map(describeFailure) : [];
        t.is(lines.length, 50);
        t.is(new Set(lines).size, 50);
        for (let team = 0; team < faultyTeams; team++) {
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

    it("names the nearest known name", t => {
        const read = readManifest("faulty.jsonc", faultyManifest());
        const lines = read.err ? read.val.map(describeFailure) : [];
        t.is(
            lines.filter(line => line.includes("wieght: unknown name; nearest known name: weight.")).length,
            faultyTeams,
        );
    });

    for (
        const [title, text, expected] of [
            ["broken syntax", "{\n\"number\": 1,,\n}", /^GH1001 m:2: /],
            ["an empty text", "", /^GH1001 m:1: /],
            ["a list in place of an object", "[]", /^GH1002 m:1: \(the whole file\): /],
        ] as const
    ) {
        it(`refuses ${title}`, t => {
            const read = readManifest("m", text);
            t.regex(read.err ? read.val.map(describeFailure).join("\n") : "", expected);
        });
    }
});
