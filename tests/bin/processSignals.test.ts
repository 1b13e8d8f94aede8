import { ProcessSignals } from "../../src/bin/processSignals.js";
import { describe, it } from "../describe.js";

/** Subscribes with a listener that records what it receives. */
function record(signals: ProcessSignals): readonly string[] {
    const received: string[] = [];
    signals.subscribe({
        reload: () => {
            received.push("reload");
        },
        ignored: (signal, elapsed) => {
            received.push(`${signal} after ${elapsed}`);
        },
    });
    return received;
}

describe("signals of a process", () => {
    // Guards against a stop signal that is lost because the program still loads.
    it("request a stop once, whether or not the program listens already", async t => {
        const signals = new ProcessSignals();
        t.false(signals.isStopRequested);
        signals.receive("SIGINT", 100);
        signals.receive("SIGTERM", 250);
        t.true(signals.isStopRequested);
        const received = record(signals);
        signals.receive("SIGHUP", 300);
        t.is(await signals.stopRequested, "SIGINT");
        t.deepEqual(received, ["SIGTERM after 150", "SIGHUP after 200"]);
    });

    // Guards against a reload during a stop, and one that is lost because the program still loads.
    it("reload the settings unless a stop is under way", t => {
        const signals = new ProcessSignals();
        signals.receive("SIGHUP", 100);
        signals.receive("SIGHUP", 110);
        const received = record(signals);
        signals.receive("SIGHUP", 120);
        signals.receive("SIGTERM", 130);
        signals.receive("SIGHUP", 140);
        t.deepEqual(received, ["reload", "reload", "SIGHUP after 10"]);
    });

    // Guards against a signal that replaces the reason of a stop that an operator requested.
    it("have no effect after a stop was requested for another reason", async t => {
        const signals = new ProcessSignals();
        const received = record(signals);
        signals.requestStop("drained", 100);
        signals.receive("SIGTERM", 180);
        signals.requestStop("drained again", 190);
        t.is(await signals.stopRequested, "drained");
        t.deepEqual(received, ["SIGTERM after 80"]);
    });
});
