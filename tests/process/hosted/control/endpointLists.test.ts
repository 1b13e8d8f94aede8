import { EndpointLists } from "../../../../src/process/hosted/control/endpointLists.js";
import { describe, it } from "../../../describe.js";
import { createEndpointRecord } from "../entry/testEndpoints.js";

const a = createEndpointRecord("a");
const b = createEndpointRecord("b");

describe("EndpointLists", () => {
    it("numbers lists by their changes, whatever the order of the endpoints", t => {
        let changes = 0;
        const lists = new EndpointLists(() => changes++);
        lists.add({ endpoints: [a, b], polledAt: 0, uncertainty: 0 });
        lists.add({ endpoints: [b, { ...a, warmUpTime: 5 }], polledAt: 1, uncertainty: 0 });
        t.is(lists.snapshot?.revision, 1);
        t.is(lists.snapshot?.polledAt, 1);
        lists.add({ endpoints: [b], polledAt: 2, uncertainty: 0 });
        t.is(lists.snapshot?.revision, 2);
        t.is(lists.snapshot?.changes.removed.length, 1);
        t.is(changes, 2);
    });

    // Guards against a former leader's list that replaces the one that its successor has read.
    it("keeps the newest list of several processes", t => {
        const lists = new EndpointLists();
        lists.add({ endpoints: [a], polledAt: 2, uncertainty: 0 });
        lists.add({ endpoints: [a, b], polledAt: 1, uncertainty: 3 });
        t.deepEqual(lists.snapshot?.endpoints, [a]);
    });
});
