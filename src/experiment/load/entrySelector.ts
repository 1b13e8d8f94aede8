import { z } from "zod";
import { httpCall } from "../../connection/httpCall.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { isLoopback } from "./loadPlan.js";

/** Timeout of a discovery request, in milliseconds. */
const discoveryTimeout: Milliseconds = 2_000;

const entriesResponseSchema = z.object({
    entries: z.array(z.object({ address: z.string() })),
    timeToLive: z.number().describe("Seconds."),
});

/** Selects entries for one client; discovers them with `GET /v1/entries` and caches them for their time to live. */
export class EntrySelector {
    private addresses: readonly string[];
    private expiresAt: Milliseconds = -Infinity;
    private refreshing: Promise<void> | undefined;
    private nextIndex = 0;

    /** @param initialAddresses Entries to use for the first discovery, and as a fallback. */
    constructor(private readonly initialAddresses: readonly string[], private readonly clock: Clock) {
        this.addresses = initialAddresses;
    }

    /** Returns the entry for the next request, round robin; refreshes an expired list first. */
    async select(): Promise<string> {
        if (this.clock.now() >= this.expiresAt) {
            this.refreshing ??= this.refresh();
            await this.refreshing;
        }
        const address = this.addresses[this.nextIndex % this.addresses.length];
        this.nextIndex++;
        if (address === undefined) {
            throw new Error("The list of entries is empty");
        }
        return address;
    }

    /** Removes an unreachable entry until discovery returns it again, and expires the list. */
    markUnreachable(address: string): void {
        const others = this.addresses.filter(entry => entry !== address);
        this.addresses = others.length === 0 ? this.initialAddresses : others;
        this.expiresAt = -Infinity;
    }

    private async refresh(): Promise<void> {
        for (const address of new Set([...this.addresses, ...this.initialAddresses])) {
            if (await this.refreshFrom(address)) {
                break;
            }
        }
        this.refreshing = undefined;
    }

    private async refreshFrom(address: string): Promise<boolean> {
        const response = await httpCall({ address, method: "GET", path: "/v1/entries", timeout: discoveryTimeout });
        if (response.err || response.val.status !== 200) {
            return false;
        }
        const parsed = entriesResponseSchema.safeParse(JSON.parse(response.val.body.toString("utf8")));
        const loopbackAddresses = parsed.data?.entries.map(entry => entry.address).filter(isLoopback) ?? [];
        if (loopbackAddresses.length === 0) {
            return false;
        }
        this.addresses = loopbackAddresses;
        this.expiresAt = this.clock.now() + (parsed.data?.timeToLive ?? 0) * 1000;
        return true;
    }
}
