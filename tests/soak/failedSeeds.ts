import type { SoakOptions } from "./soakRun.js";

/** Default size of the installation under test. */
export const defaultSize = { controls: 5, entries: 4, engines: 4, desks: 3 } as const;

/** A seed that failed once, with the options of the failed run and the cause of the failure. */
export interface FailedSeed extends Pick<SoakOptions, "seed" | "size" | "callers" | "faultPeriod"> {
    readonly cause: string;
}

/** Seeds that failed in the past; CI runs them again as regression tests. */
export const failedSeeds: readonly FailedSeed[] = [
    {
        seed: 11,
        size: defaultSize,
        callers: 12,
        faultPeriod: 15_000,
        cause: "a control process that was retired during a partition never requested to be admitted again",
    },
    {
        seed: 400,
        size: defaultSize,
        callers: 12,
        faultPeriod: 18_000,
        cause: "a heartbeat committed a log entry just before its write failed on a full disk, and the member halted",
    },
    {
        seed: 15_037,
        size: defaultSize,
        callers: 12,
        faultPeriod: 20_000,
        cause: "an entry that started while its settings file was being written ended, and was not started again",
    },
    {
        seed: 17_005,
        size: defaultSize,
        callers: 12,
        faultPeriod: 3_000,
        cause: "a second SIGTERM ended an entry at once and cut the calls that it had passed on",
    },
];
