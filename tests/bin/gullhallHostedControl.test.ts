import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { describe, it } from "../describe.js";

const programPath = fileURLToPath(new URL("../../src/bin/gullhallHostedControl.js", import.meta.url));

/** Settings in the format of the platform, with the given data folder. */
function settingsWith(dataFolder: string): string {
    return JSON.stringify({
        "node": "control-1",
        "ip-address": "127.0.19.1",
        "zone": "north",
        "listen-addresses": { "control-plane": "127.0.19.1:23100" },
        "internal-ports": [23_101, 23_110],
        "seeds": ["127.0.19.1:23100"],
        "bootstrap": true,
        "data-directory": dataFolder,
        "bounds": {},
        "cloud-api": { address: "127.0.19.1:23111" },
    });
}

describe("gullhall-hosted-control", () => {
    it("exits with 0 on SIGTERM while it cannot open its data folder", async t => {
        const folder = await mkdtemp(join(tmpdir(), "gullhall-hosted-"));
        const settings = join(folder, "settings.json");
        await writeFile(settings, settingsWith(join(settings, "data")));
        const child = spawn(process.execPath, [programPath], {
            env: { ...process.env, GULLHALL_BOOT: settings },
            stdio: ["ignore", "pipe", "inherit"],
        });
        const exited = once(child, "exit");
        for await (const line of createInterface({ input: child.stdout })) {
            if (line.includes("openLog")) {
                child.kill("SIGTERM");
            }
        }
        t.deepEqual(await exited, [0, null]); // eslint-disable-line no-restricted-syntax -- null means no signal
        await rm(folder, { recursive: true, force: true });
    });
});
