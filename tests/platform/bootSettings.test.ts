import { readBootSettings } from "../../platform/bootSettings.js";
import { describe, it } from "../describe.js";

const settings = {
    "node": "core-north-1",
    "role": "control",
    "ip-address": "10.1.0.22",
    "zone": "north",
    "listen-addresses": { "control-plane": "10.1.0.22:8229", "directory": "10.1.0.22:8224" },
    "internal-ports": [7340, 7355],
    "seeds": ["10.1.0.22:8229"],
    "bootstrap": true,
    "data-directory": "/data/control",
    "bounds": { "revocation-ms": 4000, "grace-s": 6, "lease-ms": 2500, "report-window-s": 4, "another-bound": 1 },
    "cloud-api": { "address": "10.200.0.61:8223", "duties": ["usage_reporting"] },
    "unknown": {},
};

describe("readBootSettings", () => {
    it("converts the settings, with times in milliseconds", t => {
        const read = readBootSettings(JSON.stringify(settings)).unwrap();
        t.is(read.name, "core-north-1");
        t.is(read.operatorAddress, "10.1.0.22:8229");
        t.is(read.callerAddress, undefined);
        t.true(read.isFirstStart);
        t.is(read.bounds.keyWithdrawal, 4_000);
        t.is(read.bounds.shutdown, 6_000);
        t.is(read.bounds.usageWindow, 4_000);
        t.true(read.platform.reportsUsage);
        t.false(read.platform.ordersEndpoints);
    });

    it("reads the losses to bear: single VMs, or the VMs of a failure domain or a region", t => {
        const zones = { north: "one", south: "one", west: "two" };
        const cases = [
            [{}, { vms: 1, fraction: 0 }],
            [{ "fault-tolerance": { machines: 2, zones: 0, regions: 0 }, zones }, { vms: 2, fraction: 0 }],
            [{ "fault-tolerance": { machines: 2, zones: 1, regions: 0 }, zones }, { vms: 2, fraction: 1 / 3 }],
            [{ "fault-tolerance": { machines: 2, zones: 1, regions: 1 }, zones }, { vms: 2, fraction: 1 / 2 }],
            [{ "fault-tolerance": { machines: 1, zones: 1 } }, { vms: 1, fraction: 0 }],
            [{ "fault-tolerance": "none", "zones": 3 }, { vms: 1, fraction: 0 }],
        ] as const;
        for (const [fields, expected] of cases) {
            const read = readBootSettings(JSON.stringify({ ...settings, ...fields })).unwrap();
            t.deepEqual(read.toleratedLosses, expected);
        }
    });

    // Guards against clients that leave no descriptors for endpoints and links.
    it("reads the limits for clients, by default a share of the descriptors", t => {
        const limitsOf = (fields: object): unknown =>
            readBootSettings(JSON.stringify({ ...settings, ...fields })).unwrap().connectionLimits;
        const defaults = { requestMemory: 67_108_864, unreadTimeout: 30_000 };
        t.deepEqual(limitsOf({}), { ...defaults, maximumConnections: 2_457 });
        t.deepEqual(limitsOf({ limits: { "file-descriptors": 4_200 } }), { ...defaults, maximumConnections: 2_520 });
        t.deepEqual(limitsOf({ limits: "none" }), { ...defaults, maximumConnections: 2_457 });
        const stated = { "maximum-connections": 9, "request-memory-bytes": 8, "unread-timeout-ms": 7 };
        t.deepEqual(limitsOf({ "connection-limits": stated }), {
            maximumConnections: 9,
            requestMemory: 8,
            unreadTimeout: 7,
        });
        for (const invalid of [{ "maximum-connections": 0 }, { "unread-timeout-ms": "1s" }, { "misspelt": 1 }]) {
            t.true(readBootSettings(JSON.stringify({ ...settings, "connection-limits": invalid })).err);
        }
    });

    it("accepts a leading byte order mark", t => {
        t.true(readBootSettings(`\uFEFF${JSON.stringify(settings)}`).ok);
    });

    for (
        const [title, text] of [
            ["invalid JSON", "{"],
            ["a field of the wrong type", JSON.stringify({ ...settings, seeds: 3 })],
            ["a missing field", JSON.stringify({ ...settings, node: undefined })],
        ] as const
    ) {
        it(`returns a reason for ${title}`, t => {
            const read = readBootSettings(text);
            t.true(read.err);
            t.true(typeof read.val === "string" && read.val.length > 0);
        });
    }
});
