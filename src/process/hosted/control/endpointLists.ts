import type { Milliseconds } from "../../../util/clock.js";
import { compareEndpoints } from "../endpointChanges.js";
import type { EndpointChanges } from "../endpointChanges.js";
import type { EndpointRecord } from "../endpointRecord.js";

/** A reading of the platform's list of endpoints. */
export interface EndpointReading {
    readonly endpoints: readonly EndpointRecord[];
    /** The platform was asked at this time or later, by the suspension detector's time. */
    readonly polledAt: Milliseconds;
    /** How much later it may have been asked. */
    readonly uncertainty: Milliseconds;
}

/** The newest list of endpoints. */
export interface EndpointListSnapshot extends EndpointReading {
    /** Increases by 1 with each change that others are told. */
    readonly revision: number;
    /** How the list differs from that of the revision before. */
    readonly changes: EndpointChanges;
}

/** Numbers the lists that readings of one or several processes result in. */
export class EndpointLists {
    private latestSnapshot: EndpointListSnapshot | undefined;
    private fingerprint = "";
    /** The list of the newest revision. */
    private publishedEndpoints: readonly EndpointRecord[] = [];

    /** @param onChange Called after the list has changed. */
    constructor(private readonly onChange: () => void = () => undefined) {}

    /** Undefined before the first reading. */
    get snapshot(): EndpointListSnapshot | undefined {
        return this.latestSnapshot;
    }

    /** Adds a reading unless a newer one is known. */
    add(reading: EndpointReading): void {
        const { latestSnapshot: previous } = this;
        if (previous !== undefined && reading.polledAt <= previous.polledAt) {
            return;
        }
        const fingerprint = fingerprintOf(reading.endpoints);
        const hasChanged = fingerprint !== this.fingerprint;
        const changes = hasChanged
            ? compareEndpoints(this.publishedEndpoints, reading.endpoints)
            : previous?.changes ?? { changed: [], removed: [] };
        this.latestSnapshot = { ...reading, changes, revision: (previous?.revision ?? 0) + (hasChanged ? 1 : 0) };
        if (hasChanged) {
            this.fingerprint = fingerprint;
            this.publishedEndpoints = reading.endpoints;
            this.onChange();
        }
    }
}

/** Changes when others must be told; changes of the order or the remaining warm-up time are ignored. */
function fingerprintOf(endpoints: readonly EndpointRecord[]): string {
    return JSON.stringify(endpoints.map(endpoint => JSON.stringify({ ...endpoint, warmUpTime: 0 })).sort());
}
