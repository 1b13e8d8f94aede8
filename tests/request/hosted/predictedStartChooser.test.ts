import { readCallTraits } from "../../../platform/callHeaders.js";
import { readDesiredState } from "../../../platform/desiredState.js";
import type { HostedEndpoint } from "../../../src/process/hosted/entry/hostedEndpoint.js";
import type { PlacementRequest } from "../../../src/request/hosted/endpointChooser.js";
import { PredictedStartChooser } from "../../../src/request/hosted/predictedStartChooser.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { DeploymentIndex } from "../../../src/version/deploymentIndex.js";
import { describe, it } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpoints } from "../../process/hosted/entry/testEndpoints.js";

const index = new DeploymentIndex(readDesiredState(Buffer.from(JSON.stringify(documentOf(1)))).unwrap());

function placementRequestOf(
    path: string,
    headers: object,
    excluded: ReadonlySet<HostedEndpoint> = new Set(),
): PlacementRequest {
    const route = index.findRoute("calls.example", path);
    const service = route && index.findService(route.targets[0]?.service ?? "");
    if (route === undefined || service === undefined) {
        throw new Error(`no route for ${path}`);
    }
    const traits = readCallTraits({ ...headers });
    return {
        route,
        service,
        traits,
        urgency: 5,
        minimumEventGapTarget: index.minimumEventGapTarget(service.name),
        excluded,
    };
}

function promptHeaders(subject: string): object {
    return {
        "gullhall-token-counts": "3000,60",
        "gullhall-prompt-prefix": `common:100,${subject}:2500,own${Math.random()}:400`,
    };
}

describe("PredictedStartChooser", () => {
    it("sends calls with a shared prefix to one endpoint, even from entries that share no state", t => {
        const endpoints = createEndpoints(9);
        const chosen = Array.from(
            Array(6).keys(),
            () =>
                new PredictedStartChooser(new RandomSource(1)).choose(
                    placementRequestOf("/drafts/x", promptHeaders("subject")),
                    endpoints,
                    0,
                )
                    ?.endpoint.id,
        );
        t.is(new Set(chosen).size, 1);
    });

    // Guards against entries that all send to the first of several equally good endpoints. Pattern: many entries, each with
    // few calls to a plain service, none of which knows the load of its endpoints.
    for (const entryCount of [30, 191]) {
        it(`spreads the first calls of ${entryCount} entries over endpoints without known load`, t => {
            const calls = new Map<string, number>();
            for (let entry = 0; entry < entryCount; entry++) {
                const chooser = new PredictedStartChooser(new RandomSource(entry));
                const chosen = chooser.choose(placementRequestOf("/bookings/x", {}), createEndpoints(5), 0);
                const id = chosen?.endpoint.id ?? "";
                calls.set(id, (calls.get(id) ?? 0) + 1);
            }
            t.is(calls.size, 5);
            t.true(Math.max(...calls.values()) <= 2 * entryCount / 5, [...calls.values()].join(", "));
        });
    }

    it("avoids the preferred endpoint if its queue is too long", t => {
        const endpoints = createEndpoints(9);
        const chooser = new PredictedStartChooser(new RandomSource(1));
        const preferred = chooser.choose(placementRequestOf("/drafts/x", promptHeaders("subject")), endpoints, 0)
            ?.endpoint;
        preferred?.addCall({ pendingPrefillTokens: 500_000, urgency: 5, sentAt: 0 }, 0);
        const next = new PredictedStartChooser(new RandomSource(1)).choose(
            placementRequestOf("/drafts/x", promptHeaders("subject")),
            endpoints,
            0,
        );
        t.not(next?.endpoint.id, preferred?.id);
    });

    it("predicts the wait from measured and pending waits, by urgency", t => {
        const [slow, other] = createEndpoints(2);
        const chooser = new PredictedStartChooser(new RandomSource(1));
        if (slow === undefined || other === undefined) {
            t.fail();
            return;
        }
        slow.recordQueueWait(5, 3_000, 0);
        const waitAt = (endpoint: HostedEndpoint, urgency: number): number =>
            chooser.choose({ ...placementRequestOf("/drafts/x", {}), urgency }, [endpoint], 0)?.predictedWait ?? -1;
        t.is(waitAt(slow, 5), 3_000);
        t.is(waitAt(slow, 0), 0);
        other.addCall({ pendingPrefillTokens: 1, urgency: 2, sentAt: -900 }, -900);
        t.is(waitAt(other, 5), 1_350);
        t.is(Math.floor(waitAt(other, 1)), 2);
    });

    it("spreads calls of a service without an engine over idle endpoints", t => {
        const endpoints = createEndpoints(3);
        const chooser = new PredictedStartChooser(new RandomSource(1));
        const chosen = Array.from(Array(3).keys(), () => {
            const endpoint = chooser.choose(placementRequestOf("/bookings/x", {}), endpoints, 0)?.endpoint;
            endpoint?.addCall({ pendingPrefillTokens: 0, urgency: 5, sentAt: 0 }, 0);
            return endpoint?.id;
        });
        t.is(new Set(chosen).size, 3);
    });

    it("avoids endpoints that failed, stall or were already tried", t => {
        const endpoints = createEndpoints(3);
        endpoints[0]?.recordFailure(0);
        endpoints[1]?.addCall({ pendingPrefillTokens: 0, urgency: 5, sentAt: 0 }, -5_000);
        const chooser = new PredictedStartChooser(new RandomSource(1));
        t.is(chooser.choose(placementRequestOf("/bookings/x", {}), endpoints, 0)?.endpoint.id, "e2");
        const tried = new Set(endpoints.slice(2));
        t.is(chooser.choose(placementRequestOf("/bookings/x", {}, tried), endpoints, 0)?.endpoint.id, "e1");
        t.is(chooser.choose(placementRequestOf("/bookings/x", {}, new Set(endpoints)), endpoints, 0), undefined);
    });
});
