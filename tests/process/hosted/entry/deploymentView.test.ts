import { deflateRawSync } from "node:zlib";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { DeploymentView } from "../../../../src/process/hosted/entry/deploymentView.js";
import { describe, it } from "../../../describe.js";
import { documentOf } from "../../../platform/testDocument.js";

const keyWithdrawal = 5_000;

function view(): DeploymentView {
    return new DeploymentView(keyWithdrawal, new EventLog("entry", "hidden"));
}

function body(version: number): Uint8Array {
    return deflateRawSync(JSON.stringify(documentOf(version)));
}

describe("configuration in force at an entry", () => {
    it("permits nothing before a quorum has confirmed a configuration that is held", t => {
        const entry = view();
        t.false(entry.permits(0));
        entry.confirm(0, 3);
        t.false(entry.permits(0));
        entry.take(3, body(3));
        t.true(entry.permits(0));
    });

    it("permits nothing once a later version was confirmed, until it is held", t => {
        const entry = view();
        entry.take(3, body(3));
        entry.confirm(0, 3);
        entry.confirm(100, 5);
        t.false(entry.permits(100));
        entry.take(5, body(5));
        t.true(entry.permits(100));
    });

    it("lapses before a key that was withdrawn elsewhere must be dead", t => {
        const entry = view();
        entry.take(3, body(3));
        entry.confirm(0, 3);
        t.false(entry.permits(keyWithdrawal - 500));
        entry.confirm(1_000, 3);
        t.true(entry.permits(keyWithdrawal - 500));
    });

    it("never goes back, and keeps what it has when bytes make no configuration", t => {
        const entry = view();
        entry.take(5, body(5));
        entry.take(4, body(4));
        entry.take(6, deflateRawSync("{"));
        t.is(entry.version, 5);
    });
});
