import { readFile } from "node:fs/promises";
import { formatFailure } from "../../src/resultCode/resultCode.js";
import { controlSettingsSchema } from "../../src/settings/controlSettings.js";
import { entrySettingsSchema } from "../../src/settings/entrySettings.js";
import { operatorSettingsSchema } from "../../src/settings/operatorSettings.js";
import { readSettings } from "../../src/settings/readSettings.js";
import { parseManifest } from "../../src/version/parseManifest.js";
import { describe, it } from "../describe.js";

interface Deployment {
    readonly name: string;
    readonly failureDomains: readonly string[];
    readonly replicas: Readonly<Record<string, number>>;
}

const deployments: readonly Deployment[] = [
    {
        name: "tas-south",
        failureDomains: ["hobart-a", "hobart-b", "kingston-c"],
        replicas: { "drafting-engines": 12, "bookings-app": 3 },
    },
    {
        name: "mu-island",
        failureDomains: ["port-louis", "curepipe", "mahebourg"],
        replicas: { "gullhall-llm": 6, "roster-app": 3 },
    },
];

describe("example configurations", () => {
    for (const { name, failureDomains, replicas } of deployments) {
        describe(name, () => {
            for (
                const [file, schema] of [
                    ["control", controlSettingsSchema],
                    ["entry", entrySettingsSchema],
                    ["operator", operatorSettingsSchema],
                ] as const
            ) {
                it(`${file} settings are valid`, async t => {
                    const settings = await readSettings(`examples/${name}/${file}.jsonc`, schema);
                    t.deepEqual(settings.err ? settings.val.map(formatFailure) : [], []);
                });
            }

            it("manifest contains the expected teams, replicas and failure domains", async t => {
                const path = `examples/${name}/manifest.jsonc`;
                const read = parseManifest(path, await readFile(path, "utf8"));
                t.deepEqual(read.err ? read.val.map(formatFailure) : [], []);
                const manifest = read.unwrap();
                t.is(manifest.teams.length, 10);
                const counts = manifest.pools.map(pool => [pool.name, pool.endpoints.length]);
                t.deepEqual(Object.fromEntries(counts), replicas);
                const used = manifest.pools.flatMap(pool => pool.endpoints.map(endpoint => endpoint.failureDomain));
                t.deepEqual([...new Set(used)].sort(), [...failureDomains].sort());
            });
        });
    }
});
