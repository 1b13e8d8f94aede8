import { HostedState } from "../../../../src/process/hosted/control/hostedState.js";
import { describe, it } from "../../../describe.js";

function document(version: number): { readonly version: number; readonly body: Uint8Array; } {
    return { version, body: Uint8Array.of(version) };
}

describe("HostedState", () => {
    it("keeps the highest version when versions arrive out of order", t => {
        const changedVersions: number[] = [];
        const state = new HostedState(() => changedVersions.push(state.version));
        t.is(state.apply({ kind: "replaceDocument", document: document(7) }).version, 7);
        t.is(state.apply({ kind: "replaceDocument", document: document(3) }).version, 7);
        t.is(state.apply({ kind: "replaceDocument", document: { version: 7, body: Uint8Array.of(99) } }).version, 7);
        t.deepEqual(state.document?.body, Uint8Array.of(7));
        t.deepEqual(changedVersions, [7]);
    });

    it("keeps the counts of the first command that seals a window", t => {
        const state = new HostedState(() => undefined);
        state.apply({ kind: "sealWindow", window: 5, counts: { clinic: 3 } });
        state.apply({ kind: "sealWindow", window: 5, counts: { clinic: 4 } });
        state.apply({ kind: "windowReported", window: 5 });
        t.deepEqual(state.windows, [{ window: 5, counts: { clinic: 3 }, isReported: true }]);
    });

    it("is restored from a snapshot", t => {
        const state = new HostedState(() => undefined);
        state.apply({ kind: "replaceDocument", document: document(9) });
        state.apply({ kind: "sealWindow", window: 5, counts: { clinic: 3 } });
        const copy = new HostedState(() => undefined);
        copy.restore(state.snapshot());
        t.is(copy.version, 9);
        t.deepEqual(copy.windows, state.windows);
    });
});
