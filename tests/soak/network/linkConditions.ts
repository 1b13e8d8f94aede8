import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../../src/util/clock.js";
import { ConditionVariable } from "../../../src/util/conditionVariable.js";

/** A condition of all links that match it, until it is lifted. */
export interface LinkCondition {
    /** Senders whose bytes it concerns; undefined for all. */
    readonly from?: ReadonlySet<number>;
    /** Receivers whose bytes it concerns; undefined for all. */
    readonly to?: ReadonlySet<number>;
    /** Delay of each chunk; infinite for a partition, which holds bytes until it is lifted. */
    readonly delay: Milliseconds;
}

/** What is wrong with the links between VMs at present. */
export class LinkConditions {
    private readonly conditions = new Set<LinkCondition>();
    private readonly lifted = new ConditionVariable();

    /** Puts a condition in force; the result lifts it. */
    impose(condition: LinkCondition): Disposable {
        this.conditions.add(condition);
        return {
            [Symbol.dispose]: () => {
                this.conditions.delete(condition);
                this.lifted.notifyAll();
            },
        };
    }

    /** Resolves when a chunk may pass. */
    async passage(from: number | undefined, to: number | undefined): Promise<void> {
        let delay = this.delayOf(from, to);
        while (delay === Infinity) {
            await this.lifted.wait();
            delay = this.delayOf(from, to);
        }
        if (delay > 0) {
            await sleep(delay);
        }
    }

    private delayOf(from: number | undefined, to: number | undefined): Milliseconds {
        let delay = 0;
        for (const condition of this.conditions) {
            if (includes(condition.from, from) && includes(condition.to, to)) {
                delay = Math.max(delay, condition.delay);
            }
        }
        return delay;
    }
}

function includes(vms: ReadonlySet<number> | undefined, vm: number | undefined): boolean {
    return vms === undefined || (vm !== undefined && vms.has(vm));
}
