import type { Milliseconds } from "../../util/clock.js";

/** Time within which reports of the same endpoint concern the same crash. */
const sameCrashTime: Milliseconds = 250;

/** Time for which a request is held back after the last crash that it may have caused. */
const holdTime: Milliseconds = 60_000;

/** Time within which crashes of other endpoints count against the suspicion that a request is the cause. */
const unrelatedCrashTime: Milliseconds = 10_000;

/** Number of crashes after which a request is held back, beyond those of endpoints that did not run it. */
const decisiveCrashes = 2;

/** Maximum number of crashes that are remembered; the oldest are dropped. */
const maximumCrashes = 256;

/** Maximum number of requests that one crash may concern. */
const maximumRequestsPerCrash = 256;

/** A request that is held back. */
export interface HeldRequest {
    /** Digest of the request; identical requests of a team have the same one. */
    readonly digest: string;
    /** Time until it is let through again, in milliseconds. */
    readonly remaining: Milliseconds;
}

/** What an entry learnt about requests that crash endpoints. */
export interface CrashReport {
    /** Endpoints that crashed, each with the digest of a request that it was running. */
    readonly crashes: readonly { readonly endpoint: string; readonly digest: string; }[];
    /** Digests of requests that were suspected and answered in full. */
    readonly sound: readonly string[];
}

interface Crash {
    readonly endpoint: string;
    readonly at: Milliseconds;
    /** Digests of the requests that the endpoint was running and that have not been answered in full since. */
    readonly digests: Set<string>;
}

/** Crashes of endpoints as all entries report them, and the requests that are held back because of them. */
export class CrashedRequestLedger {
    private readonly crashes: Crash[] = [];
    private readonly listeners = new Set<() => void>();

    /** Calls a listener after a report that may have changed which requests are held back. */
    onReport(listener: () => void): Disposable {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => this.listeners.delete(listener) };
    }

    /** Records what an entry reports. */
    report({ crashes, sound }: CrashReport, now: Milliseconds): void {
        for (const { endpoint, digest } of crashes) {
            const crash = this.crashOf(endpoint, now);
            if (crash.digests.size < maximumRequestsPerCrash) {
                crash.digests.add(digest);
            }
        }
        for (const digest of sound) {
            this.crashes.forEach(crash => crash.digests.delete(digest));
        }
        if (crashes.length + sound.length > 0) {
            this.listeners.forEach(listener => {
                listener();
            });
        }
    }

    /** The requests that are held back now. */
    held(now: Milliseconds): readonly HeldRequest[] {
        const recent = this.crashes.filter(({ at }) => now - at < holdTime);
        const digests = new Set(recent.flatMap(crash => [...crash.digests]));
        return [...digests].flatMap(digest => {
            const related = recent.filter(crash => crash.digests.has(digest));
            const lastAt = Math.max(...related.map(({ at }) => at));
            const unrelated = recent.filter(crash =>
                !crash.digests.has(digest) && Math.abs(lastAt - crash.at) < unrelatedCrashTime
            );
            return related.length >= decisiveCrashes + unrelated.length
                ? [{ digest, remaining: lastAt + holdTime - now }]
                : [];
        });
    }

    /** The crash of an endpoint that several entries report at about the same time. */
    private crashOf(endpoint: string, now: Milliseconds): Crash {
        const known = this.crashes.find(crash => crash.endpoint === endpoint && now - crash.at < sameCrashTime);
        if (known !== undefined) {
            return known;
        }
        const crash: Crash = { endpoint, at: now, digests: new Set() };
        this.crashes.push(crash);
        this.crashes.splice(0, this.crashes.length - maximumCrashes);
        return crash;
    }
}
