import { ControlConnection } from "../../connection/entry/controlConnection.js";
import type { ControlConnectionContext } from "../../connection/entry/controlConnection.js";
import type { Milliseconds } from "../../util/clock.js";

/** Pause between two attempts to reach a leader, in milliseconds. */
const reconnectPause: Milliseconds = 100;

/** Keeps an entry connected to the leader among the control processes, until stopped. */
export async function keepControlLink(
    addresses: readonly string[],
    context: ControlConnectionContext,
    stop: AbortSignal,
): Promise<void> {
    let position = 0;
    let leaderAddress: string | undefined;
    while (!stop.aborted) {
        const address = leaderAddress ?? addresses[position++ % addresses.length];
        if (address === undefined) {
            return;
        }
        const end = await new ControlConnection(address, context, stop).run();
        leaderAddress = end.leaderAddress;
        await context.clock.sleep(reconnectPause, stop);
    }
}
