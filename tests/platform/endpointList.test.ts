import { readEndpointPage } from "../../platform/endpointList.js";
import { describe, it } from "../describe.js";

const row = {
    "identifier": "i-1",
    "service": "engines",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "slots": 8,
    "state": "draining",
    "born": 1_000,
};

describe("readEndpointPage", () => {
    it("skips and counts rows that cannot be parsed", t => {
        const rows = [row, { ...row, state: "unheard-of" }, { ...row, address: 7 }, "noise"];
        const page = readEndpointPage({ instances: rows, next: "p-50" });
        t.is(page?.endpoints.length, 1);
        t.is(page?.unreadableRows, 3);
        t.is(page?.nextPage, "p-50");
        t.true(page?.endpoints[0]?.isLeaving);
        t.false(page?.endpoints[0]?.isSpot);
    });

    const versions: readonly (readonly [unknown, string | undefined])[] = [
        ["v1.2", "v1.2"],
        [undefined, undefined],
        [3, undefined],
        ["", undefined],
    ];
    for (const [listed, version] of versions) {
        it(`reads the software version ${JSON.stringify(listed)} as ${String(version)}`, t => {
            const page = readEndpointPage({ instances: [{ ...row, version: listed }] });
            t.is(page?.endpoints[0]?.softwareVersion, version);
        });
    }

    it("returns no next page for the last page", t => {
        t.is(readEndpointPage({ instances: [], next: undefined })?.nextPage, undefined);
    });

    it("returns undefined for a value that is not a page", t => {
        t.is(readEndpointPage({ error: "busy" }), undefined);
    });
});
