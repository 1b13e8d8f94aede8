import { PagedReadings } from "../../../../src/process/hosted/control/pagedReadings.js";
import { describe, it } from "../../../describe.js";
import { createEndpointRecord } from "../entry/testEndpoints.js";

const [a, b] = ["a", "b"].map(id => createEndpointRecord(id));
const both = [a, b].flatMap(record => record ?? []);

describe("PagedReadings", () => {
    it("keeps an endpoint that one of two successive readings lacks", t => {
        const readings = new PagedReadings();
        readings.add(both, 2, 0);
        t.is(readings.add(both.slice(1), 2, 400).length, 2);
        t.is(readings.add(both.slice(1), 2, 800).length, 1);
    });

    // Guards against endpoints that have left and are listed again by a process that has not read the list for a while (DRAIN).
    it("keeps no endpoint of a reading that is long past", t => {
        const readings = new PagedReadings();
        readings.add(both, 2, 0);
        t.is(readings.add(both.slice(1), 2, 20_000).length, 1);
    });
});
