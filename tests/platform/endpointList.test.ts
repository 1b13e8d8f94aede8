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

describe("list of endpoints", () => {
    it("is decoded row by row; rows that cannot be read are left out and counted", t => {
        const rows = [row, { ...row, state: "unheard-of" }, { ...row, address: 7 }, "noise"];
        const page = readEndpointPage({ instances: rows, next: "p-50" });
        t.is(page?.endpoints.length, 1);
        t.is(page?.unreadableRows, 3);
        t.is(page?.nextPage, "p-50");
        t.true(page?.endpoints[0]?.isLeaving);
        t.false(page?.endpoints[0]?.isSpot);
    });

    it("ends with a page that names no next one", t => {
        t.is(readEndpointPage({ instances: [], next: undefined })?.nextPage, undefined);
    });

    it("is no list when it is something else", t => {
        t.is(readEndpointPage({ error: "busy" }), undefined);
    });
});
