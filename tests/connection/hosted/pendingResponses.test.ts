import { PendingResponses } from "../../../src/connection/hosted/pendingResponses.js";
import { describe, it } from "../../describe.js";

describe("PendingResponses", () => {
    it("matches responses by number, in any order", async t => {
        const pending = new PendingResponses<string>(10_000);
        const numbers: number[] = [];
        const responses = ["a", "b"].map(() => pending.request(number => numbers.push(number)));
        pending.resolve(numbers[1] ?? 0, "second");
        pending.resolve(numbers[0] ?? 0, "first");
        t.deepEqual(await Promise.all(responses), ["first", "second"]);
    });

    // Guards against a request that waits for ever for a process that is suspended, or whose link has ended.
    it("ends a request without a response at its timeout, or when it is abandoned", async t => {
        t.is(await new PendingResponses<string>(10).request(() => undefined), undefined);
        const pending = new PendingResponses<string>(10_000);
        const response = pending.request(() => undefined);
        pending.abandon();
        t.is(await response, undefined);
    });

    it("ignores a response that comes late or was not requested", async t => {
        const pending = new PendingResponses<string>(10);
        let sent = 0;
        t.is(await pending.request(number => sent = number), undefined);
        t.notThrows(() => {
            pending.resolve(sent, "late");
            pending.resolve(17, "unknown");
        });
    });
});
