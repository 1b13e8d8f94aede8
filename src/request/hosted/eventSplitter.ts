/** An empty line ends an event. */
const eventBoundary = "\n\n";

const lineFeed = 0x0a;

/** Maximum size of one event, in bytes; a larger one is taken for bytes without end. */
const maximumEventBytes = 256 * 1024;

/** Complete events that have been received. */
export interface CompleteEvents {
    readonly bytes: Buffer;
    readonly count: number;
    /** Id of the last of these events that has one; undefined if none has. */
    readonly lastId: number | undefined;
}

/** Splits a stream of server-sent events at event boundaries, so that no incomplete event is forwarded. */
export class EventSplitter {
    private bufferedChunks: Buffer[] = [];
    private bufferedBytes = 0;

    /** @param lastReceivedId Id of the last event that the receiver already has; events up to it are dropped. */
    constructor(private readonly lastReceivedId: number | undefined) {}

    /** Buffered bytes of the event that is not complete yet. */
    get incomplete(): Buffer {
        return Buffer.concat(this.bufferedChunks);
    }

    /** Whether the event that is not complete yet exceeds the maximum size. */
    get isEventTooLong(): boolean {
        return this.bufferedBytes > maximumEventBytes;
    }

    /** Adds the next bytes of the stream; returns the events that they complete, or undefined if there are none. */
    push(chunk: Buffer): CompleteEvents | undefined {
        const previousByte = this.bufferedChunks.at(-1)?.at(-1);
        this.bufferedChunks.push(chunk);
        this.bufferedBytes += chunk.length;
        const endsAtStart = previousByte === lineFeed && chunk[0] === lineFeed;
        if (!endsAtStart && !chunk.includes(eventBoundary)) {
            return undefined;
        }
        const bytes = Buffer.concat(this.bufferedChunks);
        const end = bytes.lastIndexOf(eventBoundary) + eventBoundary.length;
        const rest = bytes.subarray(end);
        this.bufferedChunks = rest.length === 0 ? [] : [rest];
        this.bufferedBytes = rest.length;
        return this.withoutReceived(bytes.subarray(0, end));
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
