/** An empty line ends an event. */
const boundary = "\n\n";

/** Complete events that have been received. */
export interface WholeEvents {
    readonly bytes: Buffer;
    readonly count: number;
    /** Id of the last of these events that has one; undefined if none has. */
    readonly lastId: number | undefined;
}

/** Splits a stream of server-sent events at event boundaries, so that no incomplete event is forwarded. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** @param passedId Id of the last event that the receiver already has; events up to it are dropped. */
    constructor(private readonly passedId: number | undefined) {}

    /** Buffered bytes of the event that is not complete yet. */
    get incomplete(): Buffer {
        return this.rest;
    }

    /** Adds the next bytes of the stream; returns the events that they complete, or undefined if there are none. */
    push(chunk: Buffer): WholeEvents | undefined {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const end = bytes.lastIndexOf(boundary);
        if (end < 0) {
            this.rest = bytes;
            return undefined;
        }
        const whole = bytes.subarray(0, end + boundary.length);
        this.rest = bytes.subarray(end + boundary.length);
        return this.withoutPassed(whole);
    }

    private withoutPassed(whole: Buffer): WholeEvents | undefined {
        const events = splitEvents(whole);
        const { passedId } = this;
        const kept = passedId === undefined ? events : events.filter(event => (event.id ?? Infinity) > passedId);
        if (kept.length === 0) {
            return undefined;
        }
        const bytes = kept.length === events.length ? whole : Buffer.concat(kept.map(event => event.bytes));
        return { bytes, count: kept.length, lastId: kept.findLast(event => event.id !== undefined)?.id };
    }
}

interface SplitEvent {
    readonly bytes: Buffer;
    readonly id: number | undefined;
}

function splitEvents(whole: Buffer): readonly SplitEvent[] {
    const events: SplitEvent[] = [];
    let start = 0;
    while (start < whole.length) {
        const end = whole.indexOf(boundary, start) + boundary.length;
        const bytes = whole.subarray(start, end);
        events.push({ bytes, id: idOf(bytes) });
        start = end;
    }
    return events;
}

function idOf(event: Buffer): number | undefined {
    const id = /^id: ?(\d+)\s*$/m.exec(event.toString("latin1"))?.[1];
    return id === undefined ? undefined : Number(id);
}
