import { askCacheEvents, askLoad } from "../../connection/entry/endpointProbe.js";
import type { PrefixCacheIndex } from "../../request/routing/prefixCacheIndex.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { EndpointState } from "./endpointState.js";
import type { EndpointTable } from "./endpointTable.js";

/** Shortest interval between two questions to one endpoint, in milliseconds. */
const shortestInterval: Milliseconds = 250;

/** Longest interval between two questions to one endpoint, in milliseconds; it bounds how late leaving is heard. */
const longestInterval: Milliseconds = 1_000;

/** Questions a second that an entry asks of all endpoints together, as far as the longest interval allows. */
const questionsPerSecond = 200;

/** Part of the interval by which each question is early or late. */
const jitterPart = 0.2;

/** Questions without an answer after which an endpoint is set aside. */
const silencesAllowed = 2;

/** What the monitor of one endpoint works with. */
export interface EndpointMonitorContext {
    readonly table: EndpointTable;
    readonly hints: PrefixCacheIndex;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Endpoints that this entry asks. */
    readonly asked: () => number;
    /** Whether the endpoints are engines, which publish cache events. */
    readonly engines: boolean;
    /** Called after each answer. */
    readonly onHeard: (now: Milliseconds) => void;
}

/** Asks one endpoint for its load at regular intervals, until stopped; its answers are also the probes of its health. */
export class EndpointMonitor {
    private silences = 0;

    constructor(private readonly endpoint: EndpointState, private readonly context: EndpointMonitorContext) {}

    /** Runs until the signal aborts. */
    async run(stop: AbortSignal): Promise<void> {
        const { clock } = this.context;
        while (!stop.aborted) {
            await this.ask();
            await clock.sleep(this.pause(), stop);
        }
    }

    private async ask(): Promise<void> {
        const { clock } = this.context;
        const word = await askLoad(this.endpoint.description.address);
        const now = clock.now();
        switch (word.kind) {
            case "report":
                this.endpoint.noteReport(word.report, now, clock.unixNow());
                break;
            case "leaving":
                this.endpoint.noteLeaving(now);
                break;
            case "noReport":
            case "silent":
                break;
        }
        this.judge(word.kind !== "silent", word.kind === "silent" && word.refused, now);
        if (word.kind === "report" && this.context.engines) {
            await this.askForEvents();
        }
        this.context.onHeard(clock.now());
    }

    private judge(answered: boolean, refused: boolean, now: Milliseconds): void {
        const { table } = this.context;
        this.silences = answered ? 0 : this.silences + 1;
        if (this.endpoint.health.probeDue(now)) {
            table.noteProbe(this.endpoint, answered, now);
        }
        else if (refused || this.silences >= silencesAllowed) {
            table.noteFault(this.endpoint, "unreachable", now);
        }
    }

    private async askForEvents(): Promise<void> {
        const { hints } = this.context;
        const answer = await askCacheEvents(this.endpoint.description.address, hints.lastEventNumber(this.endpoint));
        if (answer !== undefined) {
            hints.applyEvents(this.endpoint, answer.events, answer.last);
        }
    }

    /** A probe that falls due earlier shortens the pause. */
    private pause(): Milliseconds {
        const { asked, random, clock } = this.context;
        const wanted = (asked() * 1_000) / questionsPerSecond;
        const interval = Math.min(longestInterval, Math.max(shortestInterval, wanted));
        const regular = interval * (1 + (2 * random.float() - 1) * jitterPart);
        const { state } = this.endpoint.health;
        const untilProbe = state.kind === "setAside" ? Math.max(1, state.until - clock.now()) : regular;
        return Math.min(regular, untilProbe);
    }
}
