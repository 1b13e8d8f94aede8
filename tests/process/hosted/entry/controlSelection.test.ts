import {
    heartbeatIntervalFor,
    selectControls,
    updateMembers,
} from "../../../../src/process/hosted/entry/controlSelection.js";
import { describe, it } from "../../../describe.js";

const nineHosts = [...Array(9).keys()].map(index => `control-${index}`);
const entries = [...Array(300).keys()].map(index => `entry-${index}`);

describe("selection of control processes", () => {
    it("links to all control processes if there are few", t => {
        const hosts = nineHosts.slice(0, 5);
        t.deepEqual(
            selectControls("entry-1", { hosts, leaderHost: undefined, unreachable: new Set(), permitAge: 0 }),
            hosts,
        );
    });

    it("links to the leader and two others, evenly distributed", t => {
        const links = entries.map(entry =>
            selectControls(entry, { hosts: nineHosts, leaderHost: "control-4", unreachable: new Set(), permitAge: 0 })
        );
        t.true(links.every(chosen => chosen.length === 3 && chosen[0] === "control-4"));
        for (const host of nineHosts.filter(other => other !== "control-4")) {
            const share = links.filter(chosen => chosen.includes(host)).length;
            // Each entry selects two of eight others, so the mean is 75 of 300 entries.
            t.true(share > 45 && share < 110, `${host} has ${share} links`);
        }
    });

    it("replaces an unreachable control process by another, and keeps the reachable ones", t => {
        const before = selectControls("entry-1", {
            hosts: nineHosts,
            leaderHost: undefined,
            unreachable: new Set(),
            permitAge: 0,
        });
        const unreachable = new Set(before.slice(0, 1));
        const meanwhile = selectControls("entry-1", {
            hosts: nineHosts,
            leaderHost: undefined,
            unreachable,
            permitAge: 0,
        });
        t.is(meanwhile.length, 3);
        t.false(meanwhile.includes(before[0] ?? ""));
        t.true(meanwhile.includes(before[1] ?? ""));
    });

    it("links to all if no recent confirmation arrived, since the selected ones may be in a minority partition", t => {
        const known = { hosts: nineHosts, leaderHost: "control-4", unreachable: new Set<string>(), permitAge: 2_000 };
        t.deepEqual(selectControls("entry-1", known), nineHosts);
        t.is(selectControls("entry-1", { ...known, permitAge: 500 }).length, 3);
    });

    it("keeps the known members if a control process with an empty disk reports none", t => {
        t.deepEqual(updateMembers(nineHosts, []), nineHosts);
        t.deepEqual(updateMembers(nineHosts, ["control-9"]), ["control-9"]);
    });

    it("limits the rate of heartbeats at the leader with several hundred entries", t => {
        t.is(heartbeatIntervalFor(9), 400);
        t.is(heartbeatIntervalFor(79), 400);
        t.true(300 * 1_000 / heartbeatIntervalFor(300) <= 250);
        t.is(heartbeatIntervalFor(10_000), 1_200);
    });
});
