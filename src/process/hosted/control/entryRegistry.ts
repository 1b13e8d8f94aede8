import type {
    EntryHeartbeat,
    EntryHello,
    PresentEntry,
    RelayOffer,
    ServiceWork,
} from "../../../connection/hosted/linkMessages.js";
import { hashText } from "../../../request/routing/hashText.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { TeamCounts } from "./hostedState.js";

/** Number of missed heartbeats after which callers are no longer sent to an entry. */
const missedHeartbeatLimit = 3;

/** Allowance for the network delay of a heartbeat. */
const networkDelayAllowance: Milliseconds = 100;

/** Minimum time without a heartbeat after which callers are no longer sent to an entry. */
const minimumPresenceTimeout: Milliseconds = 1_300;

/** How long a computed number of entries is cached. */
const countCacheTime: Milliseconds = 200;

/** Maximum number of entries in one response; callers read no more. */
const maximumListedEntries = 64;

/** Maximum number of entries that are named to one that needs relays. */
const maximumRelayOffers = 8;

interface RegisteredEntry {
    readonly hello: EntryHello;
    /** When it stops counting as present unless another heartbeat arrives. */
    readonly presentUntil: Milliseconds;
    readonly isReady: boolean;
    readonly work: ServiceWork;
    readonly usage: Readonly<Record<string, TeamCounts>>;
    readonly relay: EntryHeartbeat["relay"];
}

/** An entry connected to another control process. */
interface RelayedEntry {
    readonly entry: PresentEntry;
    readonly presentUntil: Milliseconds;
}

/** Entries known to this control process, from their own links and from other control processes. */
export class EntryRegistry {
    private readonly registered = new Map<string, RegisteredEntry>();
    /** Keyed by the control process that reported them. */
    private readonly relayed = new Map<string, readonly RelayedEntry[]>();
    private cachedCount: { readonly entries: number; readonly at: Milliseconds; } = { entries: 0, at: -Infinity };

    /** @param onReadinessChange Called after the readiness of an entry has changed. */
    constructor(private readonly onReadinessChange: () => void = () => undefined) {}

    recordHeartbeat(hello: EntryHello, heartbeat: EntryHeartbeat, now: Milliseconds): void {
        const key = keyOf(hello);
        const previous = this.registered.get(key);
        const { isReady, work, relay } = heartbeat;
        const usage = { ...previous?.usage, ...heartbeat.usage };
        const presentUntil = now
            + Math.max(minimumPresenceTimeout, heartbeat.interval * missedHeartbeatLimit + networkDelayAllowance);
        this.registered.set(key, { hello, presentUntil, isReady, work, usage, relay });
        if (previous?.isReady !== isReady) {
            this.onReadinessChange();
        }
    }

    /** Replaces the entries reported by another control process. */
    replaceRelayed(control: string, entries: readonly PresentEntry[], now: Milliseconds): void {
        this.relayed.set(control, entries.map(entry => ({ entry, presentUntil: now + entry.remaining })));
    }

    /** Entries with a recent heartbeat over a link to this process, as reported to other control processes. */
    linkedEntries(now: Milliseconds): readonly PresentEntry[] {
        return [...this.registered.values()].filter(({ presentUntil }) => now < presentUntil).map(known => {
            const { entry, incarnation, failureDomain, callerAddress } = known.hello;
            const remaining = Math.round(known.presentUntil - now);
            return { entry, incarnation, failureDomain, callerAddress, isReady: known.isReady, remaining };
        });
    }

    /** Marks an entry as disconnected; its usage counts are kept. */
    disconnect(hello: EntryHello): void {
        const entry = this.registered.get(keyOf(hello));
        if (entry !== undefined) {
            this.registered.set(keyOf(hello), { ...entry, presentUntil: -Infinity });
            this.onReadinessChange();
        }
    }

    /** Caller addresses of the serving entries, those in the given failure domain first. */
    callerAddresses(failureDomain: string | undefined, now: Milliseconds): readonly string[] {
        const present = this.servingEntries(now);
        const sameDomain = present.filter(entry => entry.failureDomain === failureDomain);
        const otherDomains = present.filter(entry => entry.failureDomain !== failureDomain);
        return [...sameDomain, ...otherDomains].slice(0, maximumListedEntries).map(({ callerAddress }) =>
            callerAddress
        );
    }

    /**
     * Linked entries that relay calls, different ones for different askers if there are many.
     *
     * @param asker Name of the entry whose calls are to be relayed.
     */
    relaysFor(asker: string, now: Milliseconds): readonly RelayOffer[] {
        const offers = [...this.registered.values()].flatMap(({ hello, presentUntil, isReady, relay }) => {
            const isUsable = now < presentUntil && isReady && relay !== undefined && hello.entry !== asker;
            return isUsable ? [{ entry: hello.entry, ...relay }] : [];
        });
        const rank = ({ entry }: RelayOffer): number => hashText(`${asker} ${entry}`);
        return offers.sort((a, b) => rank(a) - rank(b)).slice(0, maximumRelayOffers);
    }

    /** Number of serving entries; cached for a short time because every heartbeat response carries it. */
    count(now: Milliseconds): number {
        if (now - this.cachedCount.at > countCacheTime) {
            this.cachedCount = { entries: this.servingEntries(now).length, at: now };
        }
        return this.cachedCount.entries;
    }

    /** Engine time used by the calls of all present entries, by service. */
    work(now: Milliseconds): ServiceWork {
        const sums: Record<string, ServiceWork[string]> = {};
        for (const entry of this.registered.values()) {
            for (const [service, work] of now < entry.presentUntil ? Object.entries(entry.work) : []) {
                const { long, other } = sums[service] ?? { long: 0, other: 0 };
                sums[service] = { long: long + work.long, other: other + work.other };
            }
        }
        return sums;
    }

    /** Number of calls started in a usage window, by team, summed over all entries. */
    usageIn(window: number): TeamCounts {
        const sums: Record<string, number> = {};
        for (const { usage } of this.registered.values()) {
            for (const [team, calls] of Object.entries(usage[String(window)] ?? {})) {
                sums[team] = (sums[team] ?? 0) + calls;
            }
        }
        return sums;
    }

    /** Windows up to and including the given one for which an entry has reported counts, oldest first. */
    windowsUpTo(newest: number): readonly number[] {
        const windows = new Set([...this.registered.values()].flatMap(({ usage }) => Object.keys(usage).map(Number)));
        return [...windows].filter(window => window <= newest).sort((a, b) => a - b);
    }

    /** Removes the counts of windows before the given one, and entries that are absent and have no counts left. */
    pruneBefore(oldest: number, now: Milliseconds): void {
        for (const [key, entry] of this.registered) {
            const kept = Object.entries(entry.usage).filter(([window]) => Number(window) >= oldest);
            if (kept.length === 0 && now > entry.presentUntil) {
                this.registered.delete(key);
            }
            else {
                this.registered.set(key, { ...entry, usage: Object.fromEntries(kept) });
            }
        }
        for (const [control, entries] of this.relayed) {
            if (entries.every(({ presentUntil }) => now > presentUntil)) {
                this.relayed.delete(control);
            }
        }
    }

    /** Serving entries; an entry announces shutdown on all its links, so one report as not ready excludes it. */
    private servingEntries(now: Milliseconds): readonly PresentEntry[] {
        const relayed = [...this.relayed.values()].flat().filter(({ presentUntil }) => now < presentUntil);
        const reported = [...this.linkedEntries(now), ...relayed.map(({ entry }) => entry)];
        const leaving = new Set(reported.filter(({ isReady }) => !isReady).map(keyOf));
        const serving = new Map(reported.map(entry => [keyOf(entry), entry]));
        return [...serving].filter(([key]) => !leaving.has(key)).map(([, entry]) => entry);
    }
}

function keyOf({ entry, incarnation }: { readonly entry: string; readonly incarnation: string; }): string {
    return `${entry}/${incarnation}`;
}
