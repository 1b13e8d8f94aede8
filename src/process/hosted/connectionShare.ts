/** Share of the descriptors of a process for the clients of a listener; endpoints, links and files get the others. */
const clientFraction = 0.6;

/** Descriptors that a process may open if the settings do not state the number. */
const defaultDescriptors = 4_096;

/** Maximum number of connections of a listener, by the descriptors that the process may open. */
export function maximumConnectionsOf(descriptors: number = defaultDescriptors): number {
    return Math.max(1, Math.floor(descriptors * clientFraction));
}
