import fastCheck from "fast-check";
import { buildActCall, readProgress } from "../../src/process/platform/actProtocol.js";
import type { PlatformAct } from "../../src/process/platform/platformCommand.js";
import { reconcileVms, vmListSchema } from "../../src/process/platform/vmReconciliation.js";
import { definitionOf } from "../../src/resultCode/resultCode.js";
import { describe, it } from "../describe.js";
import { mutatedText } from "./mutatedText.js";

const addresses = { orderAddressOf: () => "127.0.0.1:1", common: "127.0.0.1:2" };

const acts: readonly PlatformAct[] = [
    { kind: "startEndpoints", failureDomain: "d", pool: "p", engineKind: "e", cheap: true, count: 2 },
    { kind: "stopEndpoint", failureDomain: "d", endpoint: "x" },
    { kind: "loadWeights", endpoint: "x", model: "m", version: "1", urgency: 0 },
];

const granted = { endpoint: "x", address: "127.0.0.1:3", failureDomain: "d", pool: "p", cheap: true };

const responseBodies = [
    JSON.stringify({ orderId: "act", granted: [granted, granted], unavailable: 0 }),
    JSON.stringify({ state: "failed", loadId: "act", reason: "none left" }),
    JSON.stringify({ newestFencingNumber: 7 }),
];

const vm = { endpoint: "x", address: "127.0.0.1:3", failureDomain: "d", pool: "p", cheap: true, state: "live" };

/** Returns the value of a JSON text, or the text itself if it is not JSON. */
function parseOrKeepText(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
}

const arbitraryBodies = fastCheck.oneof(
    fastCheck.constantFrom(...responseBodies).chain(mutatedText).map(parseOrKeepText),
    fastCheck.constantFrom(...responseBodies).map(parseOrKeepText),
    fastCheck.anything(),
);

describe("responses of the platform", () => {
    it("determine the progress of an act, or have it repeated with a result code", t => {
        const statuses = fastCheck.constantFrom(0, 101, 200, 204, 302, 400, 404, 408, 409, 410, 429, 500, 503);
        fastCheck.assert(
            fastCheck.property(
                fastCheck.constantFrom(...acts),
                statuses,
                arbitraryBodies,
                (act, status, body) => {
                    const identifiedAct = { actId: "act", act };
                    const response = { status, body, retryAfter: undefined };
                    const progress = readProgress(identifiedAct, buildActCall(identifiedAct, addresses), response);
                    if (progress.kind === "repeat") {
                        t.true(definitionOf(progress.failure.code).number >= 1000);
                    }
                    if (progress.kind === "answered" && progress.answer.kind === "granted") {
                        t.is(act.kind, "startEndpoints");
                        t.true(progress.answer.granted.length <= 2);
                        t.true(progress.answer.unavailable >= 0);
                    }
                },
            ),
            { seed: 61, numRuns: 3000 },
        );
    });

    it("list VMs, or are refused entirely", t => {
        const list = JSON.stringify({ listedAt: 5, vms: [vm, { ...vm, endpoint: "y", cheap: false }] });
        const knowledge = {
            ordered: [],
            configured: new Set<string>(),
            domainsWithOpenOrders: new Set<string>(),
            recentlyStopped: new Set<string>(),
            reachedByEntries: new Set<string>(),
        };
        t.is(reconcileVms(vmListSchema.parse(parseOrKeepText(list)), knowledge).length, 2);
        fastCheck.assert(
            fastCheck.property(fastCheck.oneof(mutatedText(list).map(parseOrKeepText), fastCheck.anything()), value => {
                const parsed = vmListSchema.safeParse(value);
                if (parsed.success) {
                    t.true(reconcileVms(parsed.data, knowledge).every(finding => finding.kind === "notOrdered"));
                }
            }),
            { seed: 62, numRuns: 2000 },
        );
    });
});
