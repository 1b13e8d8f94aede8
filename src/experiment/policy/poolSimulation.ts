import { addSummaries, subtractOwn } from "../../request/admission/poolSummary.js";
import { summaryInterval } from "../../request/admission/remoteLoad.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { Callers } from "./caller.js";
import { EngineModel } from "./engineModel.js";
import { EventQueue } from "./eventQueue.js";
import { FigureRecorder } from "./figureRecorder.js";
import type { Policy } from "./policy.js";
import type { PolicyFigures } from "./policyFigures.js";
import type { Scenario } from "./scenario.js";
import { SimulatedEndpoint } from "./simulatedEndpoint.js";
import { SimulatedEntry } from "./simulatedEntry.js";

/** Time between two load reports of an engine, in milliseconds. */
const reportInterval: Milliseconds = 250;

/** Time from the making of a report or summary to its arrival, in milliseconds. */
const messageDelay: Milliseconds = 150;

/** Time between two sweeps of an entry's queue, in milliseconds. */
const sweepInterval: Milliseconds = 50;

/** Time after the last arrival in which answers are still counted, in milliseconds. */
const overtime: Milliseconds = 30_000;

/** Runs a scenario under a policy; equal seeds give equal arrivals for every policy. */
export function simulatePool(
    scenario: Scenario,
    policy: Policy,
    seed: number,
): PolicyFigures {
    const events = new EventQueue();
    const recorder = new FigureRecorder();
    const demands = scenario.demands(new RandomSource(seed));
    const engines = Array.from({ length: scenario.engines }, () => new EngineModel(events, scenario.engineSpeed));
    const lengths = new Map(demands.map(demand => [demand.id, demand.outputTokens]));
    const trueOutput = (request: PendingRequest): number => lengths.get(request.id.split("#")[0] ?? "") ?? 0;
    const entryCount = policy.omniscient ? 1 : scenario.entries;
    const context = { trueOutput, engineSpeed: scenario.engineSpeed, entries: entryCount };
    const entries = [...Array(entryCount).keys()].map(number => {
        const random = new RandomSource(seed * 100 + number);
        const endpoints = engines.map(engine => new SimulatedEndpoint(engine, entryCount, random));
        const admission = policy.createAdmission(context);
        return new SimulatedEntry(admission, endpoints, random, entryCount, events, recorder);
    });
    const callers = new Callers(entries, events, recorder, new RandomSource(seed + 1_000), policy.seesTeams, scenario);
    demands.forEach(demand =>
        events.after(demand.at, () => {
            callers.begin(demand);
        })
    );
    planReports(events, entries);
    planSummaries(events, entries);
    planFaults(events, scenario, engines);
    events.runUntil(scenario.duration + overtime);
    return recorder.figures(scenario, events.now);
}

function planFaults(events: EventQueue, scenario: Scenario, engines: readonly EngineModel[]): void {
    for (const { at, strikes, strike } of scenario.faults) {
        events.after(at, () => {
            [...engines.entries()].forEach(([index, engine]) => {
                if (strikes(index)) {
                    strike(engine);
                }
            });
        });
    }
}

function planReports(events: EventQueue, entries: readonly SimulatedEntry[]): void {
    entries.forEach(entry => {
        events.every(sweepInterval, () => {
            entry.sweep();
        });
    });
    events.every(reportInterval, () => {
        for (const entry of entries) {
            const reports = entry.endpoints.map(endpoint => ({
                endpoint,
                load: endpoint.engine.load,
                own: endpoint.running,
            }));
            events.after(messageDelay, () => {
                reports.forEach(({ endpoint, load, own }) => {
                    endpoint.takeReport(load, own);
                });
                entry.work();
            });
        }
    });
}

function planSummaries(events: EventQueue, entries: readonly SimulatedEntry[]): void {
    events.every(summaryInterval, () => {
        const summaries = entries.flatMap(entry => {
            const { coordination } = entry.admission;
            const own = coordination?.queue.summarize("pool", entry.capacity(), events.now);
            return coordination === undefined || own === undefined ? [] : [{ entry, own, coordination }];
        });
        const sum = addSummaries("pool", summaries.map(each => each.own));
        for (const { entry, own, coordination } of summaries) {
            events.after(messageDelay, () => {
                coordination.neighbours.update(subtractOwn(sum, own), events.now);
                entry.work();
            });
        }
    });
}
