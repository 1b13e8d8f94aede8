import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { LogicalRequest } from "./arrivalProcess.js";
import type { Attempt } from "./attempt.js";
import type { EventQueue } from "./eventQueue.js";
import type { MetricsRecorder } from "./metricsRecorder.js";
import type { Scenario } from "./scenario.js";
import type { SimulatedEntry } from "./simulatedEntry.js";

/** Maximum number of attempts per logical request. */
const maximumAttempts = 4;

/** A caller abandons an attempt after its total target times this factor. */
const abandonmentFactor = 1.5;

/** Maximum random delay added to a retry-after time, as a fraction of that time. */
const retryJitterFraction = 0.1;

/** Simulates callers that respect retry-after times, choose an entry at random and abandon slow attempts. */
export class CallerSimulation {
    /**
     * @param entries All entries.
     * @param events Provides the simulated time.
     * @param recorder Records the requests and their results.
     * @param random Provides the random choices of entries and the jitter.
     * @param includesTeam Whether requests include the team and key name.
     * @param scenario Defines the entries available to each tier.
     */
    constructor(
        private readonly entries: readonly SimulatedEntry[],
        private readonly events: EventQueue,
        private readonly recorder: MetricsRecorder,
        private readonly random: RandomSource,
        private readonly includesTeam: boolean,
        private readonly scenario: Scenario,
    ) {}

    /** Starts the first attempt of a logical request. */
    start(logicalRequest: LogicalRequest): void {
        this.recorder.recordRequest(logicalRequest);
        this.startAttempt(logicalRequest, 1);
    }

    private startAttempt(logicalRequest: LogicalRequest, attemptNumber: number): void {
        const entryIndexes = this.scenario.entryIndexesFor(logicalRequest.requestClass.tier);
        const entryIndex = entryIndexes[this.random.integer(0, entryIndexes.length - 1)] ?? 0;
        const entry = this.entries[entryIndex % this.entries.length];
        if (entry === undefined) {
            return;
        }
        const now = this.events.now;
        const abandonment = this.events.scheduleAfter(
            logicalRequest.requestClass.target.totalMilliseconds * abandonmentFactor,
            () => {
                entry.abandon(attempt);
            },
        );
        const attempt: Attempt = {
            logicalRequest,
            request: this.createRequest(logicalRequest, attemptNumber, now),
            onRefused: retryAfter => {
                this.events.cancel(abandonment);
                this.retry(logicalRequest, attemptNumber, retryAfter);
            },
            onCompleted: () => {
                this.events.cancel(abandonment);
                this.recordCompletion(attempt);
            },
            generatedTokens: 0,
            startedAt: 0,
            serviceTime: 0,
            firstTokenAt: undefined,
        };
        entry.submit(attempt);
    }

    private retry(logicalRequest: LogicalRequest, attemptNumber: number, retryAfter: Milliseconds): void {
        if (attemptNumber < maximumAttempts) {
            const delay = retryAfter * (1 + retryJitterFraction * this.random.float());
            this.events.scheduleAfter(delay, () => {
                this.startAttempt(logicalRequest, attemptNumber + 1);
            });
        }
    }

    private recordCompletion(attempt: Attempt): void {
        const { logicalRequest, request } = attempt;
        const { totalMilliseconds, firstTokenMilliseconds } = logicalRequest.requestClass.target;
        const firstTokenAt = attempt.firstTokenAt ?? this.events.now;
        const meetsTarget = (startedAt: Milliseconds): boolean => {
            const meetsTotal = this.events.now - startedAt <= totalMilliseconds;
            return meetsTotal && firstTokenAt - startedAt <= (firstTokenMilliseconds ?? Infinity);
        };
        this.recorder.recordCompleted(
            logicalRequest,
            meetsTarget(request.arrivedAt),
            meetsTarget(logicalRequest.arrivesAt),
        );
    }

    private createRequest(
        logicalRequest: LogicalRequest,
        attemptNumber: number,
        now: Milliseconds,
    ): Attempt["request"] {
        return {
            id: `${logicalRequest.id}#${attemptNumber}`,
            team: this.includesTeam ? logicalRequest.team : undefined,
            keyName: this.includesTeam ? "key" : undefined,
            requestClass: logicalRequest.requestClass,
            pool: "pool",
            arrivedAt: now,
            promptTokens: logicalRequest.promptTokens,
            maximumOutputTokens: logicalRequest.requestClass.maximumOutputTokens,
            affinityDigest: "",
            idempotent: true,
        };
    }
}
