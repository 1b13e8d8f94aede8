import type { Clock, Milliseconds } from "../../util/clock.js";
import { FakeEntry } from "./fakeEntry.js";

/** Entries that connect before the next ones do. */
const batchSize = 25;

/** Pause between two batches, and between two looks at what is waited for, in milliseconds. */
const pause: Milliseconds = 20;

/** Bytes that all entries together have exchanged with control. */
export interface ControlTraffic {
    readonly received: number;
    readonly sent: number;
}

/** Many fake entries in this process. */
export class FakeEntryFleet implements Disposable {
    private readonly members: FakeEntry[] = [];
    private watchedVersion = Number.POSITIVE_INFINITY;
    private holders = 0;
    private onAll: () => void = () => undefined;

    constructor(
        private readonly cluster: string,
        private readonly addresses: readonly string[],
        private readonly clock: Clock,
    ) {}

    /** The entries. */
    get entries(): readonly FakeEntry[] {
        return this.members;
    }

    /** Adds entries until there are this many, and waits until each holds a permit. */
    async growTo(count: number): Promise<void> {
        while (this.members.length < count) {
            for (let added = 0; added < batchSize && this.members.length < count; added++) {
                this.members.push(this.create(`fake-${this.members.length}`));
            }
            await this.clock.sleep(pause);
        }
        while (this.members.some(entry => entry.permits === 0)) {
            await this.clock.sleep(pause);
        }
    }

    /** Bytes exchanged so far. */
    traffic(): ControlTraffic {
        return {
            received: this.members.reduce((sum, entry) => sum + entry.bytesReceived, 0),
            sent: this.members.reduce((sum, entry) => sum + entry.bytesSent, 0),
        };
    }

    /** Resolves with the time at which every entry holds the version or a later one. */
    async allHold(version: number): Promise<Milliseconds> {
        this.watchedVersion = version;
        this.holders = this.members.filter(entry => entry.version >= version).length;
        if (this.holders < this.members.length) {
            await new Promise<void>(resolve => {
                this.onAll = resolve;
            });
        }
        return this.clock.now();
    }

    [Symbol.dispose](): void {
        this.members.forEach(entry => {
            entry[Symbol.dispose]();
        });
    }

    private create(name: string): FakeEntry {
        let counted = 0;
        return new FakeEntry(name, this.cluster, this.addresses, version => {
            if (version >= this.watchedVersion && counted < this.watchedVersion) {
                counted = version;
                this.holders += 1;
                if (this.holders >= this.members.length) {
                    this.onAll();
                }
            }
        });
    }
}
