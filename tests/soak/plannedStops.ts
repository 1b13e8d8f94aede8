import type { Milliseconds } from "../../src/util/clock.js";
import type { RandomSource } from "../../src/util/randomSource.js";
import type { Findings } from "./outside/callTracker.js";
import type { CompletedCall, SoakCallers } from "./outside/soakCallers.js";
import type { SoakInstallation } from "./soakInstallation.js";
import type { PlannedStop, SoakVm } from "./soakVm.js";
import { planStopSeries, playStopSeries } from "./stopSeries.js";

/** Time from the first signal until an entry ends the calls that are under way. */
const callsEndAfter: Milliseconds = 7_500;

/** Longest time that a signal or bytes are under way between two processes of a loaded machine. */
const deliveryTime: Milliseconds = 1_000;

/** Number of stops of each process in a round. */
const stopsPerRound = 2;

/** Stops processes in series while nothing else disturbs them, and checks that this harms no caller. */
export class PlannedStops {
    private readonly startedAt = performance.now();
    private readonly stops: (PlannedStop & { readonly vm: SoakVm; })[] = [];

    constructor(
        private readonly installation: SoakInstallation,
        private readonly callers: SoakCallers,
        private readonly findings: Findings,
        private readonly random: RandomSource,
        private readonly log: (text: string) => void,
    ) {}

    /** In each round stops the entries of a failure domain and a control process; the series overlap. */
    async run(rounds: number): Promise<void> {
        const { random, installation: { entries, controls } } = this;
        for (let round = 0; round < rounds; round++) {
            const entry = random.pick(entries);
            const control = random.pick(controls);
            const series = [
                ...planStopSeries(entry ? this.installation.entriesInDomainOf(entry) : [], stopsPerRound, random),
                ...planStopSeries(control ? [control] : [], stopsPerRound, random),
            ];
            await Promise.all(series.map(each =>
                playStopSeries(each, (vm, stop) => {
                    this.recordStop(vm, stop);
                })
            ));
        }
    }

    /** Reports stops that did not end as they should, and calls that they harmed. */
    check(): void {
        for (const { vm, fault } of this.stops) {
            if (fault !== undefined) {
                this.findings.add("planned stops end by themselves", `${vm.role} ${vm.vmNumber} ${fault}`);
            }
        }
        for (const call of this.callers.completedCalls.filter(({ sentAt }) => sentAt > this.startedAt)) {
            const violation = this.describeViolation(call);
            if (violation !== undefined) {
                const { id, outcome, detail, entryVmNumber } = call;
                this.findings.add(violation, `${id} at entry ${entryVmNumber} ${outcome}: ${detail}`);
            }
        }
        for (const time of this.callers.unplacedCallTimes.filter(each => each > this.startedAt)) {
            const age = Math.round(performance.now() - time);
            this.findings.add("callers refused at a stop find another entry", `none ${age} ms ago`);
        }
    }

    private recordStop(vm: SoakVm, stop: PlannedStop | undefined): void {
        if (stop !== undefined) {
            this.stops.push({ vm, ...stop });
            this.log(`stop of ${vm.role} ${vm.vmNumber} in ${Math.round(stop.exitedAt - stop.signalledAt)} ms`);
        }
    }

    /** Names the guarantee that the end of a call violates. */
    private describeViolation({ id, outcome, entryVmNumber, sentAt, endedAt }: CompletedCall): string | undefined {
        const { executedAt, answeredAt } = this.installation.callTracker.executionOf(id) ?? {};
        const stop = this.stops.find(({ vm, signalledAt, exitedAt }) =>
            vm.vmNumber === entryVmNumber && sentAt < exitedAt && endedAt > signalledAt
        );
        if (executedAt === undefined) {
            // The connection may be closed before the request has arrived, and a process that has exited refuses it.
            const isRead = stop !== undefined && Math.min(endedAt, stop.exitedAt) - sentAt > deliveryTime;
            const isUnanswered = outcome === "broken" && isRead;
            return isUnanswered ? "requests are answered during stops" : undefined;
        }
        if (outcome !== "broken" && (outcome !== "failed" || stop === undefined)) {
            return undefined;
        }
        if (stop === undefined) {
            return "planned stops break no calls elsewhere";
        }
        const callsEndAt = stop.signalledAt + callsEndAfter;
        if (executedAt > stop.signalledAt + deliveryTime) {
            return "calls that a stopping entry passes on are answered";
        }
        return endedAt < callsEndAt || (answeredAt ?? Infinity) < callsEndAt - deliveryTime
            ? "calls are cut only at the end of a stop"
            : undefined;
    }
}
