import { EngineStarter } from "../../../src/standIn/platform/engineStarter.js";
import type { PlatformOrderResponse } from "../../../src/standIn/platform/orderHandler.js";
import { Platform } from "../../../src/standIn/platform/platform.js";
import type { PlatformOptionsInput } from "../../../src/standIn/platform/platformOptions.js";
import type { VmListResponse } from "../../../src/standIn/platform/vm.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { callHttp, parseJsonBody } from "../httpCaller.js";

const clock = new SystemClock();
const failureDomains = [{ name: "hobart-a", steadyCapacity: 3, cheapCapacity: 2 }];
const ordersPath = "/failure-domains/hobart-a/orders";

async function startPlatform(options: PlatformOptionsInput = {}): Promise<Platform> {
    const defaults = { failureDomains, listLagMilliseconds: 0 };
    const platform = new Platform({ ...defaults, ...options }, clock, new EngineStarter(clock));
    await platform.start();
    return platform;
}

async function startOrder(
    platform: Platform,
    orderId: string,
    cheap: boolean,
    count: number,
    fencingNumber = 1,
): Promise<PlatformOrderResponse> {
    const body = { orderId, fencingNumber, kind: "start", pool: "drafting", engineKind: "small", cheap, count };
    return parseJsonBody(await callHttp(platform.address, ordersPath, { body }));
}

async function vmsOf(platform: Platform): Promise<VmListResponse["vms"]> {
    return parseJsonBody<VmListResponse>(await callHttp(platform.address, "/vms")).vms;
}

describe("Platform", () => {
    describe("orders", () => {
        it("start endpoints that accept requests, and are executed once when sent twice concurrently", async t => {
            await using platform = await startPlatform();
            const responses = await Promise.all([1, 2].map(async () => startOrder(platform, "o1", false, 2)));
            t.deepEqual(responses[0], responses[1]);
            t.is((await vmsOf(platform)).length, 2);
            const load = await callHttp(responses[0]?.granted[0]?.address ?? "", "/v1/load");
            t.is(load.status, 200);
            t.deepEqual(parseJsonBody(await callHttp(platform.address, `${ordersPath}/o1`)), responses[0]);
            t.is((await callHttp(platform.address, `${ordersPath}/o2`)).status, 404);
        });

        it("are granted partially when capacity is short, also across concurrent orders", async t => {
            await using platform = await startPlatform({ startMilliseconds: 30 });
            const responses = await Promise.all(["o1", "o2"].map(async id => startOrder(platform, id, true, 2)));
            t.is(responses.reduce((sum, response) => sum + response.granted.length, 0), 2);
            t.is(responses.reduce((sum, response) => sum + response.unavailable, 0), 2);
            await callHttp(platform.address, "/stand-in/capacity", {
                body: { failureDomain: "hobart-a", cheapCapacity: 3 },
            });
            t.is((await startOrder(platform, "o3", true, 5)).granted.length, 1);
        });

        it("stop an endpoint once, and record the number of interrupted requests", async t => {
            await using platform = await startPlatform();
            const endpoint = (await startOrder(platform, "o1", false, 1)).granted[0]?.endpoint;
            const body = { orderId: "o2", fencingNumber: 1, kind: "stop", endpoint };
            await callHttp(platform.address, ordersPath, { body });
            await callHttp(platform.address, ordersPath, { body });
            t.deepEqual(await vmsOf(platform), []);
            t.is(platform.fleet.stops.length, 1);
            t.like(platform.fleet.stops[0], { endpoint, reason: "ordered", cutRequests: 0 });
        });

        it("are recorded with fencing numbers, so that an outdated sender is detected", async t => {
            await using platform = await startPlatform();
            await startOrder(platform, "o1", false, 1, 4);
            await startOrder(platform, "o2", false, 1, 3);
            await startOrder(platform, "o3", false, 1, 4);
            t.deepEqual(platform.acts.all.map(operation => operation.id), ["o1", "o2", "o3"]);
            t.deepEqual(platform.acts.findOutdated().map(operation => operation.id), ["o2"]);
        });

        it("take effect when their response is lost", async t => {
            await using platform = await startPlatform();
            platform.faults.set({ kind: "loseAnswers", times: 1 });
            await t.throwsAsync(startOrder(platform, "o1", false, 1));
            t.is(
                parseJsonBody<PlatformOrderResponse>(await callHttp(platform.address, `${ordersPath}/o1`)).granted
                    .length,
                1,
            );
        });
    });

    describe("reclaim", () => {
        it("lists the cheap endpoints of the failure domain as leaving, then stops them", async t => {
            await using platform = await startPlatform();
            await startOrder(platform, "o1", true, 2);
            await startOrder(platform, "o2", false, 1);
            const reclaimed = platform.fleet.reclaim("hobart-a", 50);
            const leaving = (await vmsOf(platform)).filter(vm => vm.state === "leaving" && vm.leavesAt !== undefined);
            t.deepEqual(leaving.map(vm => vm.cheap), [true, true]);
            await reclaimed;
            t.deepEqual((await vmsOf(platform)).map(vm => vm.cheap), [false]);
            await t.throwsAsync(callHttp(leaving[0]?.address ?? "", "/v1/load"), { code: "ECONNREFUSED" });
        });
    });

    describe("weight store", () => {
        it("rejects loads above its rate, and accepts a repeated load without using the rate limit", async t => {
            await using platform = await startPlatform({ weightLoadsPerSecond: 0.001, weightLoadBurst: 2 });
            const load = async (loadId: string): Promise<number> => {
                const body = { loadId, endpoint: "e1", model: "alpha", version: "1" };
                return (await callHttp(platform.address, "/weight-loads", { body })).status;
            };
            const statuses = [await load("l1"), await load("l1"), await load("l2"), await load("l3"), await load("l1")];
            t.deepEqual(statuses, [200, 200, 200, 429, 200]);
            t.is((await callHttp(platform.address, "/weight-loads/l3")).status, 404);
        });
    });

    describe("usage reports", () => {
        it("accepts a repeated report and rejects a different body for the same window", async t => {
            await using platform = await startPlatform();
            const report = async (body: string): Promise<number> => {
                const call = { method: "PUT", headers: { "x-fencing-number": "5" }, body };
                return (await callHttp(platform.address, "/usage-reports/2026-12-03T10", call)).status;
            };
            t.deepEqual([await report("{}"), await report("{}"), await report("{ }")], [200, 200, 409]);
            t.deepEqual(platform.acts.all.map(operation => operation.outcome), ["acted", "repeated", "refused"]);
            t.deepEqual(platform.usageReports.accepted, { "2026-12-03T10": "{}" });
        });
    });
});
