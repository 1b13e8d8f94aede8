import { EventLog } from "../../src/logEvent/eventLog.js";
import { generateKey } from "../../src/util/generateKey.js";
import { describe, it } from "../describe.js";

function createRecordedLog(): { readonly eventLog: EventLog; readonly lines: string[]; } {
    const lines: string[] = [];
    const eventLog = new EventLog("entry-1", "json", line => {
        lines.push(line);
    });
    return { eventLog, lines };
}

describe("EventLog", () => {
    it("writes one JSON object per line in the documented format", t => {
        const { eventLog, lines } = createRecordedLog();
        eventLog.write("requestRefused", {
            requestId: "entry-1-a-1",
            team: "glenorchy",
            requestClass: undefined,
            code: "keyUnknown",
        });
        eventLog.write("groupFormed", { group: "main", members: ["a", "b\n"] });
        const [refused, formed] = lines.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
        t.deepEqual(Object.keys(refused ?? {}), [
            "time",
            "level",
            "process",
            "event",
            "id",
            "text",
            "requestId",
            "team",
            "code",
        ]);
        t.regex(String(refused?.["time"]), /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$/);
        t.like(refused, { level: "info", process: "entry-1", event: 2200, id: "requestRefused", team: "glenorchy" });
        t.deepEqual(formed?.["members"], ["a", "b\n"]);
        t.true(lines.every(line => !line.includes("\n")));
    });

    it("writes the name of each level", t => {
        const { eventLog, lines } = createRecordedLog();
        eventLog.write("snapshotTaken", { group: "main", position: 1, bytes: 2 });
        eventLog.write("permitLost", { version: 1 });
        eventLog.write("taskFailed", { task: "a", reason: "b" });
        t.deepEqual(lines.map(line => (JSON.parse(line) as { level: string; }).level), ["debug", "warn", "error"]);
    });

    it("redacts keys and bearer tokens in all fields", t => {
        const { eventLog, lines } = createRecordedLog();
        const key = generateKey();
        eventLog.write("taskFailed", { task: `call ${key}, ${key}`, reason: "Bearer very-secret" });
        eventLog.write("groupFormed", { group: "main", members: [`a/${key}`] });
        t.is(lines.length, 2);
        t.true(lines.every(line => !line.includes(key) && !line.includes("very-secret")));
        t.is(lines.join("").split("ghk_[hidden]").length - 1, 4);
    });
});
