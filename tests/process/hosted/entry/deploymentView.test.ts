import { deflateRawSync } from "node:zlib";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { DeploymentView } from "../../../../src/process/hosted/entry/deploymentView.js";
import { describe, it } from "../../../describe.js";
import { documentOf } from "../../../platform/testDocument.js";

const keyWithdrawalMilliseconds = 5_000;

function createView(): DeploymentView {
    return new DeploymentView(keyWithdrawalMilliseconds, new EventLog("entry", "hidden"));
}

function compressedDocument(version: number): Uint8Array {
    return deflateRawSync(JSON.stringify(documentOf(version)));
}

describe("DeploymentView", () => {
    it("permits no calls before a quorum has confirmed the received configuration", t => {
        const entry = createView();
        t.false(entry.permitsCalls(0));
        entry.recordConfirmation(0, 3);
        t.false(entry.permitsCalls(0));
        entry.applyConfiguration(3, compressedDocument(3));
        t.true(entry.permitsCalls(0));
    });

    it("permits no calls after a later version was confirmed, until it is received", t => {
        const entry = createView();
        entry.applyConfiguration(3, compressedDocument(3));
        entry.recordConfirmation(0, 3);
        entry.recordConfirmation(100, 5);
        t.false(entry.permitsCalls(100));
        entry.applyConfiguration(5, compressedDocument(5));
        t.true(entry.permitsCalls(100));
    });

    it("withdraws the permit before the key withdrawal time has passed since the last confirmation", t => {
        const entry = createView();
        entry.applyConfiguration(3, compressedDocument(3));
        entry.recordConfirmation(0, 3);
        t.false(entry.permitsCalls(keyWithdrawalMilliseconds - 500));
        entry.recordConfirmation(1_000, 3);
        t.true(entry.permitsCalls(keyWithdrawalMilliseconds - 500));
    });

    it("ignores older versions and invalid configurations", t => {
        const entry = createView();
        entry.applyConfiguration(5, compressedDocument(5));
        entry.applyConfiguration(4, compressedDocument(4));
        entry.applyConfiguration(6, deflateRawSync("{"));
        t.is(entry.version, 5);
    });
});
