import type { Milliseconds } from "../../../util/clock.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import type { EndpointRecord } from "../endpointRecord.js";

/** Time for which it is kept that an endpoint leaves; longer than a leaving endpoint stays. */
const retentionTime: Milliseconds = 120_000;

/** What identifies an endpoint while it leaves, also if a list states less about it than another one did. */
type EndpointName = Pick<EndpointRecord, "id" | "address">;

/** When this entry learnt that endpoints leave, and how many calls it sent to them since; for logs and metrics only. */
export class LeavingRecord {
    private readonly learntAt = new Map<string, Milliseconds>();
    private calls = 0;

    /** Records that an endpoint leaves; returns whether that was not known. */
    add(endpoint: EndpointName, now: Milliseconds): boolean {
        const isNew = !this.learntAt.has(keyOf(endpoint));
        if (isNew) {
            this.removeBefore(now - retentionTime);
            this.learntAt.set(keyOf(endpoint), now);
        }
        return isNew;
    }

    /** Forgets an endpoint of which another run was listed. */
    remove(endpoint: EndpointName): void {
        this.learntAt.delete(keyOf(endpoint));
    }

    /** Time since this entry learnt that an endpoint leaves; undefined if it does not know that. */
    timeSince(endpoint: EndpointName, now: Milliseconds): Milliseconds | undefined {
        const learntAt = this.learntAt.get(keyOf(endpoint));
        return learntAt === undefined ? undefined : now - learntAt;
    }

    /** Counts a call that was sent to an endpoint although it was known to leave. */
    countCall(): void {
        this.calls++;
    }

    write(writer: ExpositionWriter): void {
        const family = "gullhall_leaving_endpoint_calls_total";
        writer.family(family, "counter", "Calls that were sent to endpoints that this entry knew to be leaving.");
        writer.sample(family, {}, this.calls);
    }

    /** The oldest entries come first. */
    private removeBefore(oldest: Milliseconds): void {
        for (const [key, learntAt] of this.learntAt) {
            if (learntAt >= oldest) {
                return;
            }
            this.learntAt.delete(key);
        }
    }
}

function keyOf({ id, address }: EndpointName): string {
    return JSON.stringify([id, address]);
}
