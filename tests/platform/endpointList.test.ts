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
        t.is(page?.unreadableRows.length, 3);
        t.is(page?.nextPage, "p-50");
        t.true(page?.endpoints[0]?.isLeaving);
        t.false(page?.endpoints[0]?.isSpot);
    });

    const deepValue: unknown = JSON.parse(`${"[".repeat(20_000)}${"]".repeat(20_000)}`);
    const oddRows: Readonly<Record<string, unknown>> = {
        "a port out of range": { ...row, address: "10.0.0.9:99999" },
        "port 0": { ...row, address: "10.0.0.9:0" },
        "a host that is no IP address": { ...row, address: "10.0.0.999:8080" },
        "an identifier that no header can contain": { ...row, identifier: "i-2\r\nX: 1" },
        "an identifier without end": { ...row, identifier: "i".repeat(100_000) },
        "a number too large": { ...row, slots: JSON.parse("1e999") as unknown },
        "more slots than an endpoint can have": { ...row, slots: 1e300 },
        "a start time too large": { ...row, born: JSON.parse("1e999") as unknown },
        "a deeply nested field": { ...row, address: deepValue },
        "a deeply nested value": deepValue,
        "null": JSON.parse("null") as unknown,
    };
    for (const [title, oddRow] of Object.entries(oddRows)) {
        // Guards against one odd row that ends or misleads the processes that read the list.
        it(`leaves out a row with ${title}, names it briefly, and keeps the others`, t => {
            const page = readEndpointPage({ instances: [oddRow, row] });
            t.deepEqual(page?.endpoints.map(({ id }) => id), ["i-1"]);
            t.is(page?.unreadableRows.length, 1);
            t.true((page?.unreadableRows[0]?.length ?? Infinity) <= 160);
        });
    }

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
