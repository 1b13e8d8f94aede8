import type { EntryBeat, EntryHello, ServiceWork } from "../../../connection/hosted/linkMessages.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { TeamCounts } from "./hostedState.js";

/** Silence after which callers are no longer sent to an entry: three of its beats. */
const presentWithin: Milliseconds = 1_300;

/** Entries in one answer at most; callers read no more. */
const listedEntries = 64;

interface KnownEntry {
    readonly hello: EntryHello;
    readonly heardAt: Milliseconds;
    readonly isReady: boolean;
    readonly work: ServiceWork;
    readonly usage: Readonly<Record<string, TeamCounts>>;
}

/** What one control process knows of the entries from their links. */
export class EntryRegistry {
    private readonly known = new Map<string, KnownEntry>();

    /** Notes what an entry told. */
    note(hello: EntryHello, beat: EntryBeat, now: Milliseconds): void {
        const key = keyOf(hello);
        const usage = { ...this.known.get(key)?.usage, ...beat.usage };
        this.known.set(key, { hello, heardAt: now, isReady: beat.isReady, work: beat.work, usage });
    }

    /** Notes that the link of an entry has ended; its counts stay. */
    disconnect(hello: EntryHello): void {
        const entry = this.known.get(keyOf(hello));
        if (entry !== undefined) {
            this.known.set(keyOf(hello), { ...entry, isReady: false });
        }
    }

    /** Addresses for callers of the entries that serve, those of the given failure domain first. */
    callerAddresses(failureDomain: string | undefined, now: Milliseconds): readonly string[] {
        const present = this.present(now);
        const near = present.filter(({ hello }) => hello.failureDomain === failureDomain);
        const far = present.filter(({ hello }) => hello.failureDomain !== failureDomain);
        return [...near, ...far].slice(0, listedEntries).map(({ hello }) => hello.callerAddress);
    }

    /** Number of entries that serve. */
    count(now: Milliseconds): number {
        return this.present(now).length;
    }

    /** Engine time that the calls of all entries take. */
    work(now: Milliseconds): ServiceWork {
        const sums: Record<string, ServiceWork[string]> = {};
        for (const entry of this.known.values()) {
            for (const [service, work] of now - entry.heardAt < presentWithin ? Object.entries(entry.work) : []) {
                const { long, other } = sums[service] ?? { long: 0, other: 0 };
                sums[service] = { long: long + work.long, other: other + work.other };
            }
        }
        return sums;
    }

    /** Calls that began to run in a usage window, by team, over all entries. */
    usageOf(window: number): TeamCounts {
        const sums: Record<string, number> = {};
        for (const { usage } of this.known.values()) {
            for (const [team, calls] of Object.entries(usage[String(window)] ?? {})) {
                sums[team] = (sums[team] ?? 0) + calls;
            }
        }
        return sums;
    }

    /** Windows up to the given one for which some entry has told counts, oldest first. */
    windowsUpTo(newest: number): readonly number[] {
        const windows = new Set([...this.known.values()].flatMap(({ usage }) => Object.keys(usage).map(Number)));
        return [...windows].filter(window => window <= newest).sort((a, b) => a - b);
    }

    /** Drops counts of windows that are over, and entries of which nothing is left. */
    forgetBefore(oldest: number, now: Milliseconds): void {
        for (const [key, entry] of this.known) {
            const kept = Object.entries(entry.usage).filter(([window]) => Number(window) >= oldest);
            if (kept.length === 0 && now - entry.heardAt > presentWithin) {
                this.known.delete(key);
            }
            else {
                this.known.set(key, { ...entry, usage: Object.fromEntries(kept) });
            }
        }
    }

    private present(now: Milliseconds): readonly KnownEntry[] {
        return [...this.known.values()].filter(entry => entry.isReady && now - entry.heardAt < presentWithin);
    }
}

function keyOf(hello: EntryHello): string {
    return `${hello.entry}/${hello.incarnation}`;
}
