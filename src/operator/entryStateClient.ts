import { httpCall } from "../connection/httpCall.js";
import type { Milliseconds } from "../util/clock.js";
import { entryStateSchema } from "./responseSchemas.js";
import type { EntryState, StatusResponse } from "./responseSchemas.js";

/** Timeout of the call that fetches the state of an entry, in milliseconds. */
const stateCallTimeout: Milliseconds = 2_000;

/** State of an entry; undefined if its metrics address did not return one. */
export interface FetchedEntryState {
    readonly entry: string;
    readonly state: EntryState | undefined;
}

/** Fetches the state of every entry in parallel. */
export function fetchEntryStates(entries: StatusResponse["entries"]): Promise<readonly FetchedEntryState[]> {
    return Promise.all(entries.map(async ({ entry, metricsAddress }) => ({
        entry,
        state: await fetchEntryState(metricsAddress),
    })));
}

/** Fetches the state of an entry from its metrics address; undefined if the call fails or the body is invalid. */
async function fetchEntryState(metricsAddress: string): Promise<EntryState | undefined> {
    const response = await httpCall({
        address: metricsAddress,
        method: "GET",
        path: "/v1/state",
        timeout: stateCallTimeout,
    });
    if (response.err || response.val.status !== 200) {
        return undefined;
    }
    try {
        return entryStateSchema.safeParse(JSON.parse(response.val.body.toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}
