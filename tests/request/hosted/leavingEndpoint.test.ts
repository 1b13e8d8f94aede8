import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, it } from "../../describe.js";
import { readAt } from "../../process/hosted/entry/listReadings.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { StatedEndpoints } from "./statedEndpoints.js";

describe("endpoint that states that it leaves", () => {
    for (const status of [200, 500, 503]) {
        // Guards against calls to an endpoint that has said that it leaves before the platform's list shows it.
        it(`gets no further calls, whatever its status (${status})`, async t => {
            await using endpoints = await StatedEndpoints.start(3, (response, id) => {
                if (id === "e0") {
                    response.setHeader("server-leaving", "1");
                }
                response.writeHead(id === "e0" ? status : 200).end("answer");
            });
            await endpoints.callUntilAllReached(3);
            const before = endpoints.received.length;
            for (let call = 0; call < 20; call++) {
                t.is((await endpoints.call()).status, 200);
            }
            t.false(endpoints.received.slice(before).includes("e0"));
        });
    }

    it("finishes what it runs", async t => {
        const responses: ServerResponse[] = [];
        await using endpoints = await StatedEndpoints.start(1, response => {
            responses.push(response);
            response.setHeader("server-leaving", "1");
            response.write("ans");
        });
        const { fleet } = endpoints.entry.context;
        const first = endpoints.call();
        while (fleet.serving("desk").length > 0) {
            await sleep(5);
        }
        t.is((await endpoints.call()).status, 503);
        responses.forEach(response => response.end("wer"));
        t.is((await first).body.toString(), "answer");
    });

    it("gets calls again once it is listed as another run", async t => {
        await using endpoints = await StatedEndpoints.start(1, response => {
            response.setHeader("server-leaving", endpoints.received.length === 1 ? "1" : "0");
            response.end("answer");
        });
        const { context: { fleet }, clock } = endpoints.entry;
        const [endpoint] = fleet.serving("desk");
        await endpoints.call();
        t.is((await endpoints.call()).status, 503);
        const listed = createEndpointRecord("e0", { ...endpoint?.record });
        fleet.applyList([listed], readAt(clock.now()), clock.now());
        t.is((await endpoints.call()).status, 503, "listed as the same run");
        fleet.applyList([{ ...listed, startedAt: 2 }], readAt(clock.now()), clock.now());
        t.is((await endpoints.call()).status, 200);
    });
});

describe("endpoint whose response came by another entry", () => {
    // Guards against calls to an endpoint that an entry sends itself after it has passed on that the endpoint leaves (DRAIN).
    it("gets no calls of the entry that asked, once it states that it leaves", async t => {
        await using endpoints = await StatedEndpoints.start(3, (response, id) => {
            if (id === "e0") {
                response.setHeader("server-leaving", "1");
            }
            response.end("answer");
        });
        await using asker = await endpoints.startEntry();
        await asker.setCutOff(true);
        const relay = { entry: "relay", address: endpoints.entry.callerAddress, token: "token" };
        asker.context.relays.applyOffers([relay], asker.clock.now());
        while (!endpoints.received.includes("e0")) {
            t.is((await endpoints.call(asker)).status, 200);
        }
        t.is(asker.calls.length, endpoints.received.length, "all calls were relayed");
        await asker.setCutOff(false);
        const before = endpoints.received.length;
        for (let call = 0; call < 20; call++) {
            t.is((await endpoints.call(asker)).status, 200);
        }
        t.false(endpoints.received.slice(before).includes("e0"));
    });
});
