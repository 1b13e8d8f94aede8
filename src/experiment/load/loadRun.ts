import type { Clock } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { scheduleArrivals } from "./arrivalSchedule.js";
import { EntryList } from "./entryList.js";
import { LoadCaller } from "./loadCaller.js";
import type { LoadPlan } from "./loadPlan.js";
import type { RequestOutcome } from "./requestOutcome.js";

/** How far a run has come. */
export interface LoadProgress {
    readonly planned: number;
    readonly sent: number;
    readonly ended: number;
}

/** One run of a load plan: sends each request at its time, whether or not earlier ones were answered (open loop). */
export class LoadRun {
    private sent = 0;
    private ended = 0;
    private planned = 0;

    /** @param onOutcome Told of each request that has ended. */
    constructor(
        private readonly plan: LoadPlan,
        private readonly clock: Clock,
        private readonly onOutcome: (outcome: RequestOutcome) => void,
    ) {}

    /** How far the run has come. */
    get progress(): LoadProgress {
        return { planned: this.planned, sent: this.sent, ended: this.ended };
    }

    /** Sends everything; resolves when the last request has ended. An abort ends the sending early. */
    async run(signal: AbortSignal): Promise<void> {
        const arrivals = scheduleArrivals(this.plan);
        this.planned = arrivals.length;
        await using owned = new DisposableStore();
        const startedAt = this.clock.now();
        const teams = new Set(this.plan.flows.map(flow => flow.team));
        const callers = new Map([...teams].map(team => {
            const entries = new EntryList(this.plan.entries, this.clock);
            return [team, owned.add(new LoadCaller(entries, this.clock, startedAt))];
        }));
        const running: Promise<void>[] = [];
        for (const arrival of arrivals) {
            const wait = startedAt + arrival.at - this.clock.now();
            if (wait > 0) {
                await this.clock.sleep(wait, signal);
            }
            if (signal.aborted) {
                break;
            }
            this.sent++;
            running.push(this.follow(callers.get(arrival.flow.team)?.send(arrival)));
        }
        await Promise.all(running);
    }

    private async follow(sending: Promise<RequestOutcome> | undefined): Promise<void> {
        const outcome = await sending;
        this.ended++;
        if (outcome !== undefined) {
            this.onOutcome(outcome);
        }
    }
}
