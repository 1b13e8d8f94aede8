import { httpCall } from "../connection/httpCall.js";
import type { Milliseconds } from "../util/clock.js";
import { entryStateSchema } from "./answerSchemas.js";
import type { EntryState, ShownStatus } from "./answerSchemas.js";

/** Longest time for an entry to show its state, in milliseconds. */
const stateTimeout: Milliseconds = 2_000;

/** An entry's own state, as far as its metrics address could be reached. */
export interface FetchedState {
    readonly entry: string;
    readonly state: EntryState | undefined;
}

/** Asks every entry for its own state. */
export function fetchStates(entries: ShownStatus["entries"]): Promise<readonly FetchedState[]> {
    return Promise.all(entries.map(async ({ entry, metricsAddress }) => ({
        entry,
        state: await fetchEntryState(metricsAddress),
    })));
}

/** Asks an entry's metrics address for its state; undefined where it cannot be had. */
async function fetchEntryState(metricsAddress: string): Promise<EntryState | undefined> {
    const answer = await httpCall({
        address: metricsAddress,
        method: "GET",
        path: "/v1/state",
        timeout: stateTimeout,
    });
    if (answer.err || answer.val.status !== 200) {
        return undefined;
    }
    try {
        return entryStateSchema.safeParse(JSON.parse(answer.val.body.toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}
