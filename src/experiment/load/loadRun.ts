import type { Clock } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { scheduleArrivals } from "./arrivalSchedule.js";
import { EntrySelector } from "./entrySelector.js";
import { LoadClient } from "./loadClient.js";
import type { LoadPlan } from "./loadPlan.js";
import type { RequestOutcome } from "./requestOutcome.js";

/** Progress of a run, as numbers of requests. */
export interface LoadProgress {
    readonly planned: number;
    readonly sent: number;
    readonly ended: number;
}

/** Runs a load plan with an open loop: sends each request at its scheduled time, regardless of earlier responses. */
export class LoadRun {
    private sent = 0;
    private ended = 0;
    private planned = 0;

    /** @param onOutcome Called with the outcome of each finished request. */
    constructor(
        private readonly plan: LoadPlan,
        private readonly clock: Clock,
        private readonly onOutcome: (outcome: RequestOutcome) => void,
    ) {}

    /** The current progress. */
    get progress(): LoadProgress {
        return { planned: this.planned, sent: this.sent, ended: this.ended };
    }

    /** Sends all requests; resolves when the last one has finished. After an abort, no more requests are sent. */
    async run(signal: AbortSignal): Promise<void> {
        const arrivals = scheduleArrivals(this.plan);
        this.planned = arrivals.length;
        await using disposables = new DisposableStore();
        const startedAt = this.clock.now();
        const teams = new Set(this.plan.flows.map(flow => flow.team));
        const clients = new Map([...teams].map(team => {
            const selector = new EntrySelector(this.plan.entries, this.clock);
            return [team, disposables.add(new LoadClient(selector, this.clock, startedAt))];
        }));
        const running: Promise<void>[] = [];
        for (const arrival of arrivals) {
            const wait = startedAt + arrival.scheduledAt - this.clock.now();
            if (wait > 0) {
                await this.clock.sleep(wait, signal);
            }
            if (signal.aborted) {
                break;
            }
            this.sent++;
            running.push(this.reportOutcome(clients.get(arrival.flow.team)?.send(arrival)));
        }
        await Promise.all(running);
    }

    private async reportOutcome(pendingOutcome: Promise<RequestOutcome> | undefined): Promise<void> {
        const outcome = await pendingOutcome;
        this.ended++;
        if (outcome !== undefined) {
            this.onOutcome(outcome);
        }
    }
}
