import { addSummaries, subtractOwn } from "../../request/admission/poolSummary.js";
import { summaryInterval } from "../../request/admission/remoteLoad.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { CallerSimulation } from "./callerSimulation.js";
import { EngineModel } from "./engineModel.js";
import { EventQueue } from "./eventQueue.js";
import { MetricsRecorder } from "./metricsRecorder.js";
import type { Policy } from "./policy.js";
import type { PolicyMetrics } from "./policyMetrics.js";
import type { Scenario } from "./scenario.js";
import { SimulatedEndpoint } from "./simulatedEndpoint.js";
import { SimulatedEntry } from "./simulatedEntry.js";

/** Interval between load reports of an engine, in milliseconds. */
const reportInterval: Milliseconds = 250;

/** Delay between the creation of a report or summary and its arrival, in milliseconds. */
const messageDelay: Milliseconds = 150;

/** Interval between sweeps of an entry's queue, in milliseconds. */
const sweepInterval: Milliseconds = 50;

/** Time after the last arrival in which responses still count, in milliseconds. */
const completionPeriod: Milliseconds = 30_000;

/** Runs a scenario under a policy; equal seeds give the same arrivals for every policy. */
export function simulatePool(
    scenario: Scenario,
    policy: Policy,
    seed: number,
): PolicyMetrics {
    const events = new EventQueue();
    const recorder = new MetricsRecorder();
    const logicalRequests = scenario.drawRequests(new RandomSource(seed));
    const engines = Array.from({ length: scenario.engineCount }, () => new EngineModel(events, scenario.engineSpeed));
    const outputTokensById = new Map(logicalRequests.map(request => [request.id, request.outputTokens]));
    const trueOutputTokens = (request: PendingRequest): number =>
        outputTokensById.get(request.id.split("#")[0] ?? "") ?? 0;
    const entryCount = policy.isCentralized ? 1 : scenario.entryCount;
    const context = { trueOutputTokens, engineSpeed: scenario.engineSpeed, entryCount };
    const entries = [...Array(entryCount).keys()].map(index => {
        const random = new RandomSource(seed * 100 + index);
        const endpoints = engines.map(engine => new SimulatedEndpoint(engine, entryCount, random));
        const admission = policy.createAdmission(context);
        return new SimulatedEntry(admission, endpoints, random, entryCount, events, recorder);
    });
    const callers = new CallerSimulation(
        entries,
        events,
        recorder,
        new RandomSource(seed + 1_000),
        policy.includesTeam,
        scenario,
    );
    logicalRequests.forEach(request =>
        events.scheduleAfter(request.arrivesAt, () => {
            callers.start(request);
        })
    );
    scheduleSweepsAndReports(events, entries);
    scheduleSummaries(events, entries);
    scheduleFaults(events, scenario, engines);
    events.runUntil(scenario.duration + completionPeriod);
    return recorder.summarize(scenario, events.now);
}

function scheduleFaults(events: EventQueue, scenario: Scenario, engines: readonly EngineModel[]): void {
    for (const { at, affects, apply } of scenario.faults) {
        events.scheduleAfter(at, () => {
            [...engines.entries()].forEach(([index, engine]) => {
                if (affects(index)) {
                    apply(engine);
                }
            });
        });
    }
}

function scheduleSweepsAndReports(events: EventQueue, entries: readonly SimulatedEntry[]): void {
    entries.forEach(entry => {
        events.scheduleEvery(sweepInterval, () => {
            entry.sweep();
        });
    });
    events.scheduleEvery(reportInterval, () => {
        for (const entry of entries) {
            const loads = entry.endpoints.map(endpoint => ({
                endpoint,
                load: endpoint.engine.load,
                ownRunning: endpoint.runningRequests,
            }));
            events.scheduleAfter(messageDelay, () => {
                loads.forEach(({ endpoint, load, ownRunning }) => {
                    endpoint.applyReport(load, ownRunning);
                });
                entry.dispatchAndPreempt();
            });
        }
    });
}

function scheduleSummaries(events: EventQueue, entries: readonly SimulatedEntry[]): void {
    events.scheduleEvery(summaryInterval, () => {
        const summaries = entries.flatMap(entry => {
            const { coordination } = entry.admission;
            const own = coordination?.queue.summarize("pool", entry.capacity(), events.now);
            return coordination === undefined || own === undefined ? [] : [{ entry, own, coordination }];
        });
        const sum = addSummaries("pool", summaries.map(each => each.own));
        for (const { entry, own, coordination } of summaries) {
            events.scheduleAfter(messageDelay, () => {
                coordination.remoteLoad.update(subtractOwn(sum, own), events.now);
                entry.dispatchAndPreempt();
            });
        }
    });
}
