import { ControlConnection } from "../../connection/entry/controlConnection.js";
import type { ControlConnectionContext } from "../../connection/entry/controlConnection.js";
import type { Milliseconds } from "../../util/clock.js";

/** Pause between two attempts to reach a leader, in milliseconds. */
const reconnectPause: Milliseconds = 100;

/** How long a control process that stayed silent is not taken for the leader, in milliseconds. */
const silencePenalty: Milliseconds = 2500;

/** Keeps an entry connected to the leader among the control processes, until stopped. */
export async function keepControlLink(
    addresses: readonly string[],
    context: ControlConnectionContext,
    stop: AbortSignal,
): Promise<void> {
    const silentUntil = new Map<string, Milliseconds>();
    let position = 0;
    let leaderAddress: string | undefined;
    while (!stop.aborted) {
        // The others may still name a leader that has stopped answering.
        const named = isSilent(leaderAddress, silentUntil, context.clock.now()) ? undefined : leaderAddress;
        const address = named ?? addresses[position++ % addresses.length];
        if (address === undefined) {
            return;
        }
        const end = await new ControlConnection(address, context, stop).run();
        if (end.silent) {
            silentUntil.set(address, context.clock.now() + silencePenalty);
        }
        leaderAddress = end.leaderAddress;
        await context.clock.sleep(reconnectPause, stop);
    }
}

function isSilent(
    address: string | undefined,
    silentUntil: ReadonlyMap<string, Milliseconds>,
    now: Milliseconds,
): boolean {
    return address !== undefined && (silentUntil.get(address) ?? 0) > now;
}
