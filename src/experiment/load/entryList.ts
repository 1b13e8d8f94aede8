import { z } from "zod";
import { httpCall } from "../../connection/httpCall.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { isLoopback } from "./loadPlan.js";

/** Longest time for one question, in milliseconds. */
const discoveryTimeout: Milliseconds = 2_000;

const answerSchema = z.object({
    entries: z.array(z.object({ address: z.string() })),
    timeToLive: z.number().describe("Seconds."),
});

/** The entries that one caller uses, asked for by `GET /v1/entries` and kept for the time that the answer allows. */
export class EntryList {
    private addresses: readonly string[];
    private staleAt: Milliseconds = -Infinity;
    private asking: Promise<void> | undefined;
    private next = 0;

    /** @param first Entries that are asked at the start. */
    constructor(private readonly first: readonly string[], private readonly clock: Clock) {
        this.addresses = first;
    }

    /** The entry for the next request, in turn. */
    async pick(): Promise<string> {
        if (this.clock.now() >= this.staleAt) {
            this.asking ??= this.ask();
            await this.asking;
        }
        const address = this.addresses[this.next % this.addresses.length];
        this.next++;
        if (address === undefined) {
            throw new Error("a list of entries is never empty");
        }
        return address;
    }

    /** Gives up an entry that could not be reached, until the next answer names it again. */
    avoid(address: string): void {
        const others = this.addresses.filter(entry => entry !== address);
        this.addresses = others.length === 0 ? this.first : others;
        this.staleAt = -Infinity;
    }

    private async ask(): Promise<void> {
        for (const address of new Set([...this.addresses, ...this.first])) {
            if (await this.askOne(address)) {
                break;
            }
        }
        this.asking = undefined;
    }

    private async askOne(address: string): Promise<boolean> {
        const answer = await httpCall({ address, method: "GET", path: "/v1/entries", timeout: discoveryTimeout });
        if (answer.err || answer.val.status !== 200) {
            return false;
        }
        const listed = answerSchema.safeParse(JSON.parse(answer.val.body.toString("utf8")));
        const usable = listed.data?.entries.map(entry => entry.address).filter(isLoopback) ?? [];
        if (usable.length === 0) {
            return false;
        }
        this.addresses = usable;
        this.staleAt = this.clock.now() + (listed.data?.timeToLive ?? 0) * 1000;
        return true;
    }
}
