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
        const view = createView();
        t.false(view.permitsCalls(0));
        view.recordConfirmation(0, 3);
        t.false(view.permitsCalls(0));
        view.applyConfiguration(3, compressedDocument(3));
        t.true(view.permitsCalls(0));
    });

    it("permits no calls after a later version was confirmed, until it is received", t => {
        const view = createView();
        view.applyConfiguration(3, compressedDocument(3));
        view.recordConfirmation(0, 3);
        view.recordConfirmation(100, 5);
        t.false(view.permitsCalls(100));
        view.applyConfiguration(5, compressedDocument(5));
        t.true(view.permitsCalls(100));
    });

    it("withdraws the permit before the key withdrawal time has passed since the last confirmation", t => {
        const view = createView();
        view.applyConfiguration(3, compressedDocument(3));
        view.recordConfirmation(0, 3);
        t.false(view.permitsCalls(keyWithdrawalMilliseconds - 500));
        view.recordConfirmation(1_000, 3);
        t.true(view.permitsCalls(keyWithdrawalMilliseconds - 500));
    });

    it("ignores older versions and invalid configurations", t => {
        const view = createView();
        view.applyConfiguration(5, compressedDocument(5));
        view.applyConfiguration(4, compressedDocument(4));
        view.applyConfiguration(6, deflateRawSync("{"));
        t.is(view.version, 5);
    });
});
