import { ControlConnection } from "../../connection/entry/controlConnection.js";
import type { ControlConnectionContext } from "../../connection/entry/controlConnection.js";
import type { Milliseconds } from "../../util/clock.js";

/** Delay before the next connection to a control process, in milliseconds. */
const reconnectDelay: Milliseconds = 100;

/** How long an entry ignores redirects to a control process that stopped responding, in milliseconds. */
const unresponsiveBackOff: Milliseconds = 2500;

/**
 * Keeps an entry connected to the leader of the control processes until the signal aborts; reconnects after failures.
 *
 * Connects to the leader that the previous connection named, or else to the addresses in turn.
 */
export async function maintainControlConnection(
    addresses: readonly string[],
    context: ControlConnectionContext,
    stopSignal: AbortSignal,
): Promise<void> {
    const unresponsiveUntil = new Map<string, Milliseconds>();
    let nextIndex = 0;
    let leaderAddress: string | undefined;
    while (!stopSignal.aborted) {
        // Other control processes may still name a leader that no longer responds.
        const reachableLeader = isUnresponsive(leaderAddress, unresponsiveUntil, context.clock.now())
            ? undefined
            : leaderAddress;
        const address = reachableLeader ?? addresses[nextIndex++ % addresses.length];
        if (address === undefined) {
            return;
        }
        const end = await new ControlConnection(address, context, stopSignal).run();
        if (end.timedOut) {
            unresponsiveUntil.set(address, context.clock.now() + unresponsiveBackOff);
        }
        leaderAddress = end.leaderAddress;
        await context.clock.sleep(reconnectDelay, stopSignal);
    }
}

function isUnresponsive(
    address: string | undefined,
    unresponsiveUntil: ReadonlyMap<string, Milliseconds>,
    now: Milliseconds,
): boolean {
    return address !== undefined && (unresponsiveUntil.get(address) ?? 0) > now;
}
