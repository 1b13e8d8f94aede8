import { setImmediate as nextCheckPhase } from "node:timers/promises";

/**
 * Resolves after the event loop has polled all sockets once more.
 *
 * A poll delivers the data of a connection, but its end only in the next poll. If the event loop was late, both have
 * been waiting, so the state of a connection is out of date in the turn in which its data was read.
 */
export async function waitForSocketPoll(): Promise<void> {
    // The first check phase follows the poll of the current turn.
    await nextCheckPhase();
    await nextCheckPhase();
}
