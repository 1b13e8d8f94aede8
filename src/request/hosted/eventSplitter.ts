/** An empty line ends an event. */
const eventBoundary = "\n\n";

/** Complete events that have been received. */
export interface CompleteEvents {
    readonly bytes: Buffer;
    readonly count: number;
    /** Id of the last of these events that has one; undefined if none has. */
    readonly lastId: number | undefined;
}

/** Splits a stream of server-sent events at event boundaries, so that no incomplete event is forwarded. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    /** @param lastReceivedId Id of the last event that the receiver already has; events up to it are dropped. */
    constructor(private readonly lastReceivedId: number | undefined) {}

    /** Buffered bytes of the event that is not complete yet. */
    get incomplete(): Buffer {
        return this.buffered;
    }

    /** Adds the next bytes of the stream; returns the events that they complete, or undefined if there are none. */
    push(chunk: Buffer): CompleteEvents | undefined {
        const bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const end = bytes.lastIndexOf(eventBoundary);
        if (end < 0) {
            this.buffered = bytes;
            return undefined;
        }
        const completeBytes = bytes.subarray(0, end + eventBoundary.length);
        this.buffered = bytes.subarray(end + eventBoundary.length);
        return this.withoutReceived(completeBytes);
    }

    private withoutReceived(completeBytes: Buffer): CompleteEvents | undefined {
        const events = splitEvents(completeBytes);
        const { lastReceivedId } = this;
        const kept = lastReceivedId === undefined
            ? events
            : events.filter(event => (event.id ?? Infinity) > lastReceivedId);
        if (kept.length === 0) {
            return undefined;
        }
        const bytes = kept.length === events.length ? completeBytes : Buffer.concat(kept.map(event => event.bytes));
        return { bytes, count: kept.length, lastId: kept.findLast(event => event.id !== undefined)?.id };
    }
}

interface SplitEvent {
    readonly bytes: Buffer;
    readonly id: number | undefined;
}

function splitEvents(completeBytes: Buffer): readonly SplitEvent[] {
    const events: SplitEvent[] = [];
    let start = 0;
    while (start < completeBytes.length) {
        const end = completeBytes.indexOf(eventBoundary, start) + eventBoundary.length;
        const bytes = completeBytes.subarray(start, end);
        events.push({ bytes, id: readEventId(bytes) });
        start = end;
    }
    return events;
}

function readEventId(event: Buffer): number | undefined {
    const id = /^id: ?(\d+)\s*$/m.exec(event.toString("latin1"))?.[1];
    return id === undefined ? undefined : Number(id);
}
