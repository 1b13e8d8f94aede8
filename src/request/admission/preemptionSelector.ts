import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { PoolCapacity, Preemption } from "../admissionQueue.js";
import type { LoadGuard } from "./loadShedder.js";
import type { PressureGauge } from "./poolSummaryBuilder.js";
import type { NeighbourPressure } from "./remoteLoad.js";
import type { RunningRequests } from "./runningRequests.js";
import type { TierTable } from "./tierQueues.js";

/** Largest part of the running requests that one decision preempts. */
const preemptedPart = 0.1;

/** What a {@link PreemptionChoice} looks at. */
export interface PreemptionChoiceParts {
    readonly table: TierTable;
    readonly running: RunningRequests;
    readonly guard: LoadGuard;
    readonly gauge: PressureGauge;
    readonly neighbours: NeighbourPressure;
}

/**
 * Chooses which running requests are interrupted so that more important ones meet their targets.
 *
 * As many as will otherwise miss them, here or (by part) at other entries; of the lowest tier first, and of those the
 * one that started last, because the least of its context has to be processed again.
 */
export class PreemptionChoice {
    /** @param parts What it looks at. */
    constructor(private readonly parts: PreemptionChoiceParts) {}

    /** The requests to interrupt now. */
    choose(capacity: PoolCapacity, now: Milliseconds): readonly Preemption[] {
        if (capacity.freeSlots > 0) {
            return [];
        }
        const { running } = this.parts;
        const most = Math.max(1, Math.floor(running.size * preemptedPart));
        const chosen: Preemption[] = [];
        for (const forTier of this.tiersShortOfRoom(capacity, now).slice(0, most)) {
            const victim = running.chooseVictim(forTier);
            if (victim !== undefined) {
                chosen.push({ request: victim.request, forTier });
            }
        }
        return chosen;
    }

    /** One element for each request that needs room, the most important first: its tier. */
    private tiersShortOfRoom(capacity: PoolCapacity, now: Milliseconds): readonly number[] {
        const { table, running, guard, gauge, neighbours } = this.parts;
        const needs: number[] = [];
        for (let tier = 0; tier < lowestTier; tier += 1) {
            const short = Math.max(table.shortfallOf(tier, capacity, now), guard.heldOf(tier));
            const missing = Math.max(0, short - running.beingInterrupted - needs.length);
            needs.push(...new Array<number>(missing).fill(tier));
        }
        const pressed = neighbours.pressedTier(now);
        const owed = neighbours.owedPreemptions(tier => gauge.preemptibleBelow(tier), now);
        return pressed === undefined ? needs : [...needs, ...new Array<number>(owed).fill(pressed)];
    }
}
