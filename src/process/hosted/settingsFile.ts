import { readFile } from "node:fs/promises";
import { readBootSettings } from "../../../platform/bootSettings.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { HostedSettings } from "./hostedSettings.js";

/** Pause between two looks at the file; it may change without a signal. */
const lookInterval: Milliseconds = 1_000;

/** The settings file of a hosted process; a version of it that cannot be used leaves the one before in force. */
export class SettingsFile {
    private text = "";
    private settings: HostedSettings | undefined;

    constructor(private readonly path: string) {}

    /** The settings in force; {@link load} must have succeeded before. */
    get current(): HostedSettings {
        if (this.settings === undefined) {
            throw new Error("the settings were not loaded");
        }
        return this.settings;
    }

    /** Reads the file; gives the reason where it cannot be used. */
    async load(): Promise<string | undefined> {
        try {
            this.text = await readFile(this.path, "utf8");
        }
        catch (error) {
            return String(error);
        }
        const read = readBootSettings(this.text);
        if (read.err) {
            return read.val;
        }
        this.settings = read.val;
        return undefined;
    }

    /** Reads the file anew whenever it changes, until the signal ends it. */
    async watch(clock: Clock, eventLog: EventLog, onChange: () => void, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await clock.sleep(lookInterval, signal);
            await this.reload("the file has changed", eventLog, onChange);
        }
    }

    /** Reads the file anew if it has changed. */
    async reload(reason: string, eventLog: EventLog, onChange: () => void): Promise<void> {
        const before = this.text;
        const fault = await this.load();
        if (this.text === before) {
            return;
        }
        if (fault !== undefined) {
            eventLog.write("settingsRefused", { reason: fault });
            return;
        }
        eventLog.write("settingsReloaded", { reason, seeds: this.current.seedOperatorAddresses });
        onChange();
    }
}
