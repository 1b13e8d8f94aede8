import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { SettingsFile } from "../../../src/process/hosted/settingsFile.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";

const eventLog = new EventLog("vm", "hidden");

function textOf(seeds: readonly string[]): string {
    return JSON.stringify({
        "node": "vm",
        "ip-address": "10.0.0.1",
        "zone": "north",
        "listen-addresses": {},
        "internal-ports": [7000, 7010],
        "seeds": seeds,
        "bounds": {},
        "cloud-api": { address: "10.0.0.9:80" },
    });
}

describe("settings file", () => {
    // Guards against a process that ends because its settings are written while it starts.
    it("is read again at the start while it is incomplete", async t => {
        const folder = await mkdtemp(join(tmpdir(), "gullhall-settings-"));
        const path = join(folder, "local.json");
        const text = textOf(["10.0.0.2:80"]);
        await writeFile(path, text.slice(0, text.length / 2));
        const file = new SettingsFile(path);
        const loaded = file.loadAtStart(new SystemClock());
        await writeFile(path, text);
        t.is(await loaded, undefined);
        t.deepEqual(file.current.seedOperatorAddresses, ["10.0.0.2:80"]);
        await rm(folder, { recursive: true });
    });

    it("is reloaded when it changes, and keeps the previous settings if the change is invalid", async t => {
        const folder = await mkdtemp(join(tmpdir(), "gullhall-settings-"));
        const path = join(folder, "local.json");
        const file = new SettingsFile(path);
        t.is(typeof await file.load(), "string");
        await writeFile(path, textOf(["10.0.0.2:80"]));
        t.is(await file.load(), undefined);
        let changes = 0;
        const reload = (): Promise<void> =>
            file.reload("test", eventLog, () => {
                changes++;
            });
        await reload();
        t.is(changes, 0);
        await writeFile(path, "{");
        await reload();
        t.deepEqual(file.current.seedOperatorAddresses, ["10.0.0.2:80"]);
        await writeFile(path, textOf(["10.0.0.3:80"]));
        await reload();
        t.deepEqual(file.current.seedOperatorAddresses, ["10.0.0.3:80"]);
        t.is(changes, 1);
        await rm(folder, { recursive: true });
    });
});
