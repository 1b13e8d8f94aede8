import type { EntryHeartbeat, EntryHello, PresentEntry, ServiceWork } from "../../../connection/hosted/linkMessages.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { TeamCounts } from "./hostedState.js";

/** Silence after which callers are no longer sent to an entry: three of its beats, and some time for their way. */
const missedBeats = 3;

/** Time that beats may take on their way. */
const wayTime: Milliseconds = 100;

/** Shortest silence after which callers are no longer sent to an entry. */
const leastSilence: Milliseconds = 1_300;

/** Time for which a count of the entries is used. */
const countInterval: Milliseconds = 200;

/** Entries in one answer at most; callers read no more. */
const listedEntries = 64;

interface KnownEntry {
    readonly hello: EntryHello;
    /** Until when it counts as present unless it is heard. */
    readonly presentUntil: Milliseconds;
    readonly isReady: boolean;
    readonly work: ServiceWork;
    readonly usage: Readonly<Record<string, TeamCounts>>;
}

/** An entry that is linked to another control process. */
interface RelayedEntry {
    readonly entry: PresentEntry;
    readonly presentUntil: Milliseconds;
}

/** What one control process knows of the entries from their links, and from other control processes. */
export class EntryRegistry {
    private readonly known = new Map<string, KnownEntry>();
    /** By the control process that told of them. */
    private readonly relayed = new Map<string, readonly RelayedEntry[]>();
    private counted: { readonly entries: number; readonly at: Milliseconds; } = { entries: 0, at: -Infinity };

    /** @param onReadiness Called when an entry has become ready or ceased to be. */
    constructor(private readonly onReadiness: () => void = () => undefined) {}

    /** Notes what an entry told. */
    recordHeartbeat(hello: EntryHello, beat: EntryHeartbeat, now: Milliseconds): void {
        const key = keyOf(hello);
        const before = this.known.get(key);
        const { isReady, work } = beat;
        const usage = { ...before?.usage, ...beat.usage };
        const presentUntil = now + Math.max(leastSilence, beat.interval * missedBeats + wayTime);
        this.known.set(key, { hello, presentUntil, isReady, work, usage });
        if (before?.isReady !== isReady) {
            this.onReadiness();
        }
    }

    /** Takes over which entries another control process has links of. */
    noteRelayed(control: string, entries: readonly PresentEntry[], now: Milliseconds): void {
        this.relayed.set(control, entries.map(entry => ({ entry, presentUntil: now + entry.remaining })));
    }

    /** The entries whose links have told lately, for other control processes. */
    linkedEntries(now: Milliseconds): readonly PresentEntry[] {
        return [...this.known.values()].filter(({ presentUntil }) => now < presentUntil).map(known => {
            const { entry, incarnation, failureDomain, callerAddress } = known.hello;
            const remaining = Math.round(known.presentUntil - now);
            return { entry, incarnation, failureDomain, callerAddress, isReady: known.isReady, remaining };
        });
    }

    /** Notes that the link of an entry has ended; its counts stay. */
    disconnect(hello: EntryHello): void {
        const entry = this.known.get(keyOf(hello));
        if (entry !== undefined) {
            this.known.set(keyOf(hello), { ...entry, presentUntil: -Infinity });
            this.onReadiness();
        }
    }

    /** Addresses for callers of the entries that serve, those of the given failure domain first. */
    callerAddresses(failureDomain: string | undefined, now: Milliseconds): readonly string[] {
        const present = this.present(now);
        const near = present.filter(entry => entry.failureDomain === failureDomain);
        const far = present.filter(entry => entry.failureDomain !== failureDomain);
        return [...near, ...far].slice(0, listedEntries).map(({ callerAddress }) => callerAddress);
    }

    /** Number of entries that serve, as of lately: each answer to a beat tells it. */
    count(now: Milliseconds): number {
        if (now - this.counted.at > countInterval) {
            this.counted = { entries: this.present(now).length, at: now };
        }
        return this.counted.entries;
    }

    /** Engine time that the calls of all entries take. */
    work(now: Milliseconds): ServiceWork {
        const sums: Record<string, ServiceWork[string]> = {};
        for (const entry of this.known.values()) {
            for (const [service, work] of now < entry.presentUntil ? Object.entries(entry.work) : []) {
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
            if (kept.length === 0 && now > entry.presentUntil) {
                this.known.delete(key);
            }
            else {
                this.known.set(key, { ...entry, usage: Object.fromEntries(kept) });
            }
        }
        for (const [control, entries] of this.relayed) {
            if (entries.every(({ presentUntil }) => now > presentUntil)) {
                this.relayed.delete(control);
            }
        }
    }

    /** Entries that serve; one that leaves tells it all, so that a single word of it is enough. */
    private present(now: Milliseconds): readonly PresentEntry[] {
        const relayed = [...this.relayed.values()].flat().filter(({ presentUntil }) => now < presentUntil);
        const told = [...this.linkedEntries(now), ...relayed.map(({ entry }) => entry)];
        const leaving = new Set(told.filter(({ isReady }) => !isReady).map(keyOf));
        const serving = new Map(told.map(entry => [keyOf(entry), entry]));
        return [...serving].filter(([key]) => !leaving.has(key)).map(([, entry]) => entry);
    }
}

function keyOf({ entry, incarnation }: { readonly entry: string; readonly incarnation: string; }): string {
    return `${entry}/${incarnation}`;
}
