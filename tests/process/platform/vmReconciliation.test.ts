import type { OrderedEndpoint } from "../../../src/process/platform/orderedFleet.js";
import { reconcileVms, vmListSchema } from "../../../src/process/platform/vmReconciliation.js";
import type { ListedVm, ReconciliationView } from "../../../src/process/platform/vmReconciliation.js";
import { describe, it } from "../../describe.js";

const listedAt = 100_000;
const vm: ListedVm = {
    endpoint: "e1",
    address: "127.0.0.1:1",
    failureDomain: "curepipe",
    pool: "gullhall-llm",
    cheap: true,
    state: "live",
};
const ordered: OrderedEndpoint = {
    ...vm,
    state: "live",
    actId: "1-1",
    grantedAt: 1_000,
    changedAt: 1_000,
    version: undefined,
};
const emptyView: ReconciliationView = {
    ordered: [],
    configured: new Set(),
    domainsWithOpenOrders: new Set(),
    recentlyStopped: new Set(),
    reachedByEntries: new Set(),
};

describe("reconcileVms", () => {
    const cases: readonly [string, readonly ListedVm[], Partial<ReconciliationView>, readonly string[]][] = [
        ["matches the list", [vm], { ordered: [ordered] }, []],
        ["is leaving", [{ ...vm, state: "leaving" }], { ordered: [ordered] }, ["leaving"]],
        ["is already known to be leaving", [{ ...vm, state: "leaving" }], {
            ordered: [{ ...ordered, state: "leaving" }],
        }, []],
        ["is no longer listed", [], { ordered: [ordered] }, ["gone"]],
        ["is not listed but still reached", [], { ordered: [ordered], reachedByEntries: new Set(["e1"]) }, []],
        ["is too new for the list", [], { ordered: [{ ...ordered, grantedAt: 90_000 }] }, []],
        [
            "was leaving and is no longer listed",
            [],
            { ordered: [{ ...ordered, grantedAt: 90_000, state: "leaving" }] },
            [
                "gone",
            ],
        ],
        ["was never ordered", [vm], {}, ["notOrdered"]],
        ["is configured in the manifest", [vm], { configured: new Set(["e1"]) }, []],
        ["may belong to an open order", [vm], { domainsWithOpenOrders: new Set(["curepipe"]) }, []],
        ["was just released", [vm], { recentlyStopped: new Set(["e1"]) }, []],
    ];
    for (const [title, vms, view, expected] of cases) {
        it(`handles an endpoint that ${title}`, t => {
            const list = vmListSchema.parse({ listedAt, vms });
            const findings = reconcileVms(list, { ...emptyView, ...view });
            t.deepEqual(findings.map(({ kind }) => kind), expected);
        });
    }

    const deepValue: unknown = JSON.parse(`${"[".repeat(20_000)}${"]".repeat(20_000)}`);
    const oddRows: Readonly<Record<string, unknown>> = {
        "a state that is not named": { ...vm, state: "asleep" },
        "a number too large": { ...vm, state: "leaving", leavesAt: JSON.parse("1e999") as unknown },
        "a deeply nested field": { ...vm, pool: deepValue },
    };
    for (const [title, oddRow] of Object.entries(oddRows)) {
        // Guards against one odd row that hides the whole list, or makes its endpoint count as gone.
        it(`leaves out a row with ${title}, and follows the others`, t => {
            const leaving = { ...vm, endpoint: "e2", state: "leaving" };
            const list = vmListSchema.parse({ listedAt, vms: [oddRow, deepValue, leaving] });
            const findings = reconcileVms(list, { ...emptyView, ordered: [ordered, { ...ordered, endpoint: "e2" }] });
            t.deepEqual(findings.map(({ kind }) => kind), ["leaving"]);
            t.is(list.unreadableRows.length, 2);
            t.true(list.unreadableRows.every(({ length }) => length <= 160));
        });
    }
});
