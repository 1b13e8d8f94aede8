import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { Attempt } from "./attempt.js";
import type { EventQueue } from "./eventQueue.js";
import type { FigureRecorder } from "./figureRecorder.js";
import type { Scenario } from "./scenario.js";
import type { SimulatedEntry } from "./simulatedEntry.js";
import type { Demand } from "./workload.js";

/** Attempts that a caller makes at most. */
const attemptsPerCaller = 4;

/** A caller leaves when an attempt has taken this many times its target. */
const patience = 1.5;

/** Largest random addition to a retry-after, as a share of it. */
const retryJitter = 0.1;

/** Callers that keep to retry-after, choose an entry at random, and leave when an answer takes too long. */
export class Callers {
    /**
     * @param entries The entries that they may choose.
     * @param events The simulated time.
     * @param recorder Gathers what they see.
     * @param random Chooses entries and jitter.
     * @param seesTeams Whether requests carry the team.
     * @param scenario Says which entry a caller uses.
     */
    constructor(
        private readonly entries: readonly SimulatedEntry[],
        private readonly events: EventQueue,
        private readonly recorder: FigureRecorder,
        private readonly random: RandomSource,
        private readonly seesTeams: boolean,
        private readonly scenario: Scenario,
    ) {}

    /** Starts the first attempt of a demand. */
    begin(demand: Demand): void {
        this.recorder.noteDemand(demand);
        this.attempt(demand, 1);
    }

    private attempt(demand: Demand, number: number): void {
        const choices = this.scenario.entriesOf(demand.requestClass.tier);
        const choice = choices[this.random.integer(0, choices.length - 1)] ?? 0;
        const entry = this.entries[choice % this.entries.length];
        if (entry === undefined) {
            return;
        }
        const now = this.events.now;
        const leaving = this.events.after(demand.requestClass.target.totalMilliseconds * patience, () => {
            entry.leave(attempt);
        });
        const attempt: Attempt = {
            demand,
            request: this.requestOf(demand, number, now),
            onRefused: retryAfter => {
                this.events.cancel(leaving);
                this.retry(demand, number, retryAfter);
            },
            onAnswered: () => {
                this.events.cancel(leaving);
                this.noteAnswer(attempt);
            },
            madeTokens: 0,
            startedAt: 0,
            serviceTime: 0,
            firstTokenAt: undefined,
        };
        entry.submit(attempt);
    }

    private retry(demand: Demand, number: number, retryAfter: Milliseconds): void {
        if (number < attemptsPerCaller) {
            const delay = retryAfter * (1 + retryJitter * this.random.float());
            this.events.after(delay, () => {
                this.attempt(demand, number + 1);
            });
        }
    }

    private noteAnswer(attempt: Attempt): void {
        const { demand, request } = attempt;
        const { totalMilliseconds, firstTokenMilliseconds } = demand.requestClass.target;
        const first = attempt.firstTokenAt ?? this.events.now;
        const meets = (since: Milliseconds): boolean => {
            const inTotal = this.events.now - since <= totalMilliseconds;
            return inTotal && first - since <= (firstTokenMilliseconds ?? Infinity);
        };
        this.recorder.noteAnswered(demand, meets(request.arrivedAt), meets(demand.at));
    }

    private requestOf(demand: Demand, number: number, now: Milliseconds): Attempt["request"] {
        return {
            id: `${demand.id}#${number}`,
            team: this.seesTeams ? demand.team : undefined,
            keyName: this.seesTeams ? "key" : undefined,
            requestClass: demand.requestClass,
            pool: "pool",
            arrivedAt: now,
            promptTokens: demand.promptTokens,
            maximumOutputTokens: demand.requestClass.maximumOutputTokens,
            prefixDigest: "",
            idempotent: true,
        };
    }
}
