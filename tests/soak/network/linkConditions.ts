import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../../src/util/clock.js";
import { ConditionVariable } from "../../../src/util/conditionVariable.js";

/** A delay or a partition of all links that match it, in effect until it is removed. */
export interface LinkCondition {
    /** Numbers of the sending VMs; undefined matches all senders. */
    readonly from?: ReadonlySet<number>;
    /** Numbers of the receiving VMs; undefined matches all receivers. */
    readonly to?: ReadonlySet<number>;
    /** Delay of each chunk; infinite for a partition, which holds bytes back until it is removed. */
    readonly delay: Milliseconds;
}

/** Delays and partitions of the links between VMs that are currently in effect. */
export class LinkConditions {
    private readonly conditions = new Set<LinkCondition>();
    private readonly removed = new ConditionVariable();

    /** Puts a condition into effect; disposing of the result removes it. */
    add(condition: LinkCondition): Disposable {
        this.conditions.add(condition);
        return {
            [Symbol.dispose]: () => {
                this.conditions.delete(condition);
                this.removed.notifyAll();
            },
        };
    }

    /** Resolves once a chunk may pass from one VM to another; undefined stands for an address outside of all VMs. */
    async waitUntilPassable(from: number | undefined, to: number | undefined): Promise<void> {
        let delay = this.delayBetween(from, to);
        while (delay === Infinity) {
            await this.removed.wait();
            delay = this.delayBetween(from, to);
        }
        if (delay > 0) {
            await sleep(delay);
        }
    }

    private delayBetween(from: number | undefined, to: number | undefined): Milliseconds {
        let delay = 0;
        for (const condition of this.conditions) {
            if (matches(condition.from, from) && matches(condition.to, to)) {
                delay = Math.max(delay, condition.delay);
            }
        }
        return delay;
    }
}

function matches(vmNumbers: ReadonlySet<number> | undefined, vmNumber: number | undefined): boolean {
    return vmNumbers === undefined || (vmNumber !== undefined && vmNumbers.has(vmNumber));
}
