/** Two line ends in a row end an event. */
const boundary = "\n\n";

/** Whole events that have arrived. */
export interface WholeEvents {
    readonly bytes: Buffer;
    readonly count: number;
    /** Identity of the last of them; undefined where none has one. */
    readonly lastId: number | undefined;
}

/** Cuts a stream of server-sent events between events, so that no part of one is passed on alone. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** @param passedId Identity of the last event that the receiver has; events up to it are left out. */
    constructor(private readonly passedId: number | undefined) {}

    /** Bytes of an event that is not yet whole. */
    get incomplete(): Buffer {
        return this.rest;
    }

    /** Takes the next bytes of the stream; gives the events that have become whole. */
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
