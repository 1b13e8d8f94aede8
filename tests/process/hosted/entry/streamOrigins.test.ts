import type { StreamOriginAnswer } from "../../../../src/process/hosted/entry/streamOrigins.js";
import { StreamOrigins } from "../../../../src/process/hosted/entry/streamOrigins.js";
import { SystemClock } from "../../../../src/util/clock.js";
import { describe, it } from "../../../describe.js";

const origin = { service: "writers", softwareVersion: "v1" };
const unknown: StreamOriginAnswer = { origin: undefined, isFromLeader: true };

function createOrigins(ask: (callId: string) => StreamOriginAnswer = () => unknown): StreamOrigins {
    return new StreamOrigins({
        clock: new SystemClock(),
        entryCount: () => 1,
        ask: (team, callId) => Promise.resolve(ask(`${team ?? ""}/${callId}`)),
        onReportDue: () => undefined,
    });
}

describe("StreamOrigins", () => {
    it("tells each link the streams since its previous message, by team and origin", t => {
        const origins = createOrigins();
        origins.recordStart("clinic", "a", origin, 1_000, 0);
        const numberOfFirst = origins.newestStream;
        origins.recordStart("clinic", "b", { ...origin }, 1_000, 1);
        origins.recordStart("depot", "c", origin, 1_000, 2);
        t.deepEqual(origins.startedSince(0, 3).map(({ callIds }) => callIds), [["a", "b"], ["c"]]);
        t.deepEqual(origins.startedSince(numberOfFirst, 3).map(({ callIds }) => callIds), [["b"], ["c"]]);
        t.deepEqual(origins.startedSince(origins.newestStream, 3), []);
        t.deepEqual(origins.startedSince(0, 1_001).map(({ callIds }) => callIds), [["c"]]);
    });

    // Guards against memory and messages that grow with the number of streams.
    it("remembers a bounded number of streams, and splits large messages", t => {
        const origins = createOrigins();
        for (let stream = 0; stream < 40_000; stream++) {
            origins.recordStart("clinic", `s${stream}`, origin, 1_000, 0);
        }
        const groups = origins.startedSince(0, 1);
        t.true(groups.every(({ callIds }) => callIds.length <= 2_048));
        const callIds = groups.flatMap(group => group.callIds);
        t.true(callIds.length <= 16_384);
        t.is(callIds.at(-1), "s39999");
        t.deepEqual(origins.startedSince(39_998, 1).flatMap(group => group.callIds), ["s39998", "s39999"]);
    });

    it("asks again for a stream that its entry may not have reported yet", async t => {
        const asked: string[] = [];
        const origins = createOrigins(callId => {
            asked.push(callId);
            return asked.length > 1 ? { origin, isFromLeader: true } : unknown;
        });
        t.deepEqual((await origins.find("clinic", "a")).origin, origin);
        t.deepEqual(asked, ["clinic/a", "clinic/a"]);
    });
});
