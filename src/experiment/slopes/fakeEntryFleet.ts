import type { Clock, Milliseconds } from "../../util/clock.js";
import { FakeEntry } from "./fakeEntry.js";

/** Number of entries that are created at once. */
const batchSize = 25;

/** Interval between two batches, and between two checks for permits, in milliseconds. */
const checkInterval: Milliseconds = 20;

/** Total bytes that all entries have exchanged with control. */
export interface ControlTraffic {
    readonly received: number;
    readonly sent: number;
}

/** A number of fake entries in this process. */
export class FakeEntryFleet implements Disposable {
    private readonly members: FakeEntry[] = [];
    private awaitedVersion = Number.POSITIVE_INFINITY;
    private upToDateCount = 0;
    private onAllUpToDate: () => void = () => undefined;

    constructor(
        private readonly cluster: string,
        private readonly addresses: readonly string[],
        private readonly clock: Clock,
    ) {}

    get entries(): readonly FakeEntry[] {
        return this.members;
    }

    /** Number of entries that have received a permit. */
    get permittedCount(): number {
        return this.members.filter(entry => entry.receivedPermits > 0).length;
    }

    /**
     * Adds entries until there are `count`, and waits until each of them has received a permit.
     *
     * @param timeout Time limit in milliseconds from the start of the call; it ends the wait for permits, not the adding.
     * @returns Whether every entry has received a permit in time.
     */
    async growTo(count: number, timeout: Milliseconds): Promise<boolean> {
        const deadline = this.clock.now() + timeout;
        while (this.members.length < count) {
            for (let added = 0; added < batchSize && this.members.length < count; added++) {
                this.members.push(this.createEntry(`fake-${this.members.length}`));
            }
            await this.clock.sleep(checkInterval);
        }
        while (this.permittedCount < count && this.clock.now() < deadline) {
            await this.clock.sleep(checkInterval);
        }
        return this.permittedCount === count;
    }

    /** Returns the bytes exchanged so far. */
    traffic(): ControlTraffic {
        return {
            received: this.members.reduce((sum, entry) => sum + entry.bytesReceived, 0),
            sent: this.members.reduce((sum, entry) => sum + entry.bytesSent, 0),
        };
    }

    /** Waits until every entry has the version or a later one; resolves with the time at which the wait ended. */
    async waitForVersion(version: number): Promise<Milliseconds> {
        this.awaitedVersion = version;
        this.upToDateCount = this.members.filter(entry => entry.version >= version).length;
        if (this.upToDateCount < this.members.length) {
            await new Promise<void>(resolve => {
                this.onAllUpToDate = resolve;
            });
        }
        return this.clock.now();
    }

    [Symbol.dispose](): void {
        this.members.forEach(entry => {
            entry[Symbol.dispose]();
        });
    }

    private createEntry(name: string): FakeEntry {
        let countedVersion = 0;
        return new FakeEntry(name, this.cluster, this.addresses, version => {
            if (version >= this.awaitedVersion && countedVersion < this.awaitedVersion) {
                countedVersion = version;
                this.upToDateCount += 1;
                if (this.upToDateCount >= this.members.length) {
                    this.onAllUpToDate();
                }
            }
        });
    }
}
