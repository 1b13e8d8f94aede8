/** An empty line ends an event; its line ends with a line feed, or with a carriage return and a line feed. */
const eventBoundaries = ["\n\n", "\n\r\n"] as const;

/** Maximum number of bytes of an event boundary that the chunk before may hold. */
const boundaryOverlap = 2;

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
    /** Last bytes of the incomplete event, which may begin a boundary. */
    private previousBytes: Buffer = Buffer.alloc(0);

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
        const searched = Buffer.concat([this.previousBytes, chunk]);
        this.previousBytes = searched.subarray(-boundaryOverlap);
        this.bufferedChunks.push(chunk);
        this.bufferedBytes += chunk.length;
        if (lastBoundaryEnd(searched) === undefined) {
            return undefined;
        }
        const bytes = Buffer.concat(this.bufferedChunks);
        const end = lastBoundaryEnd(bytes) ?? 0;
        const rest = bytes.subarray(end);
        this.bufferedChunks = rest.length === 0 ? [] : [rest];
        this.bufferedBytes = rest.length;
        this.previousBytes = rest.subarray(-boundaryOverlap);
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
        const end = firstBoundaryEnd(completeBytes, start) ?? completeBytes.length;
        const bytes = completeBytes.subarray(start, end);
        events.push({ bytes, id: readEventId(bytes) });
        start = end;
    }
    return events;
}

function firstBoundaryEnd(bytes: Buffer, start: number): number | undefined {
    const ends = eventBoundaries.flatMap(boundary => {
        const index = bytes.indexOf(boundary, start);
        return index < 0 ? [] : [index + boundary.length];
    });
    return ends.length === 0 ? undefined : Math.min(...ends);
}

function lastBoundaryEnd(bytes: Buffer): number | undefined {
    const ends = eventBoundaries.flatMap(boundary => {
        const index = bytes.lastIndexOf(boundary);
        return index < 0 ? [] : [index + boundary.length];
    });
    return ends.length === 0 ? undefined : Math.max(...ends);
}

function readEventId(event: Buffer): number | undefined {
    const id = /^id: ?(\d+)\s*$/m.exec(event.toString("latin1"))?.[1];
    return id === undefined ? undefined : Number(id);
}
