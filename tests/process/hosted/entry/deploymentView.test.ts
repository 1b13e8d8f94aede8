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

describe("DeploymentView", () => {
    it("permits no calls before a quorum has confirmed the received configuration", t => {
        const entry = view();
        t.false(entry.permits(0));
        entry.confirm(0, 3);
        t.false(entry.permits(0));
        entry.take(3, body(3));
        t.true(entry.permits(0));
    });

    it("permits no calls after a later version was confirmed, until it is received", t => {
        const entry = view();
        entry.take(3, body(3));
        entry.confirm(0, 3);
        entry.confirm(100, 5);
        t.false(entry.permits(100));
        entry.take(5, body(5));
        t.true(entry.permits(100));
    });

    it("withdraws the permit before the key withdrawal time has passed since the last confirmation", t => {
        const entry = view();
        entry.take(3, body(3));
        entry.confirm(0, 3);
        t.false(entry.permits(keyWithdrawal - 500));
        entry.confirm(1_000, 3);
        t.true(entry.permits(keyWithdrawal - 500));
    });

    it("ignores older versions and invalid configurations", t => {
        const entry = view();
        entry.take(5, body(5));
        entry.take(4, body(4));
        entry.take(6, deflateRawSync("{"));
        t.is(entry.version, 5);
    });
});
