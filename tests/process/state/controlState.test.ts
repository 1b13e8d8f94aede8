import { ControlProposer } from "../../../src/process/state/controlProposer.js";
import { ControlState } from "../../../src/process/state/controlState.js";
import type { ControlCommand } from "../../../src/process/state/controlState.js";
import { describe, it } from "../../describe.js";
import { VolatileCommandLog } from "../replicatedLog/volatileCommandLog.js";

const origin = { operator: "operator", receivedAt: 0 };

describe("ControlState", () => {
    it("rejects a command on which a section throws, and applies the next one", async t => {
        const state = new ControlState();
        const proposer = new ControlProposer(new VolatileCommandLog(state));
        const malformed = { kind: "submitManifest", number: 1, digest: "", baseVersion: 0, origin } as never;
        const rejected = await proposer.propose("configuration", malformed);
        t.is(rejected.err ? rejected.val.code : undefined, "commandRejected");
        const withdrawn = await proposer.propose("configuration", { kind: "withdrawKey", digest: "d", origin });
        t.deepEqual(withdrawn.unwrap(), { kind: "accepted", version: 1, repeated: false });
    });

    it("restores the same state from a snapshot, and returns equal outcomes afterwards", t => {
        const commands: readonly ControlCommand[] = [
            { section: "configuration", command: { kind: "withdrawKey", digest: "d", origin } },
            { section: "usage", command: { kind: "setUsageWindow", length: 1000, at: 0 } },
            {
                section: "usage",
                command: { kind: "beginIncarnation", entry: "e", incarnation: "i", startedAt: 0, at: 0 },
            },
        ];
        const first = new ControlState();
        commands.forEach(command => first.apply(command));
        const second = new ControlState();
        second.restore(first.snapshot());
        t.deepEqual(second.snapshot(), first.snapshot());
        const next = commands[0];
        t.truthy(next);
        t.deepEqual(next && second.apply(next), next && first.apply(next));
    });
});
