import { readFile } from "node:fs/promises";
import { readBootSettings } from "../../../platform/bootSettings.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { HostedSettings } from "./hostedSettings.js";

/** Polling interval; the file may change without a signal to the process. */
const pollInterval: Milliseconds = 1_000;

/** Time for which a process that starts waits for valid settings: the file may be written at the same moment. */
const maximumStartDelay: Milliseconds = 2_000;

/** Interval between two attempts to read the file at the start. */
const startRetryInterval: Milliseconds = 100;

/** The settings file of a hosted process; if a new version is invalid, the previous settings remain in force. */
export class SettingsFile {
    private text = "";
    private settings: HostedSettings | undefined;

    constructor(private readonly path: string) {}

    /** The settings in force; throws unless {@link load} has succeeded before. */
    get current(): HostedSettings {
        if (this.settings === undefined) {
            throw new Error("settings accessed before they were loaded");
        }
        return this.settings;
    }

    /** Reads the file; returns the reason if it is invalid or cannot be read, otherwise undefined. */
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

    /** Reads the file at the start of the process, again for a time while it is invalid; returns the last reason if so. */
    async loadAtStart(clock: Clock): Promise<string | undefined> {
        const startedAt = clock.now();
        let invalidReason = await this.load();
        while (invalidReason !== undefined && clock.now() - startedAt < maximumStartDelay) {
            await clock.sleep(startRetryInterval);
            invalidReason = await this.load();
        }
        return invalidReason;
    }

    /** Polls the file and reloads it whenever it changes, until the signal is aborted. */
    async watch(clock: Clock, eventLog: EventLog, onChange: () => void, signal: AbortSignal): Promise<void> {
        await clock.sleep(pollInterval, signal);
        while (!signal.aborted) {
            await this.reload("the file has changed", eventLog, onChange);
            await clock.sleep(pollInterval, signal);
        }
    }

    /** Reloads the file if it has changed; the reason is logged. */
    async reload(reason: string, eventLog: EventLog, onChange: () => void): Promise<void> {
        const previousText = this.text;
        const invalidReason = await this.load();
        if (this.text === previousText) {
            return;
        }
        if (invalidReason !== undefined) {
            eventLog.write("settingsRefused", { reason: invalidReason });
            return;
        }
        eventLog.write("settingsReloaded", { reason, seeds: this.current.seedOperatorAddresses });
        onChange();
    }
}
