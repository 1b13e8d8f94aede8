import { Clock } from "../../../src/util/clock.js";

/** An action that is due at a moment of virtual time. */
interface DueAction {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
}

/** Virtual time in milliseconds; it jumps from one due action to the next. */
export class VirtualTime {
    now = 0;
    private order = 0;
    private readonly heap: DueAction[] = [];

    /** Runs an action after a span. */
    schedule(delay: number, action: () => void): void {
        this.order += 1;
        const due = { at: this.now + Math.max(0, delay), order: this.order, action };
        let index = this.heap.push(due) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                break;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    /** Runs all actions that are due within a span, and all that follows from each before the next. */
    async run(span: number, afterEach: () => void): Promise<void> {
        const end = this.now + span;
        await new Promise(resolve => setImmediate(resolve));
        for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
            this.removeFirst();
            this.now = next.at;
            next.action();
            await new Promise(resolve => setImmediate(resolve));
            afterEach();
        }
        this.now = end;
    }

    private removeFirst(): void {
        this.swap(0, this.heap.length - 1);
        this.heap.pop();
        let index = 0;
        for (;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < this.heap.length);
            const least = children.sort((a, b) => this.isBefore(a, b) ? -1 : 1)[0];
            if (least === undefined || !this.isBefore(least, index)) {
                return;
            }
            this.swap(least, index);
            index = least;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const [a, b] = [this.heap[left], this.heap[right]];
        return a !== undefined && b !== undefined && (a.at < b.at || (a.at === b.at && a.order < b.order));
    }

    private swap(left: number, right: number): void {
        const [a, b] = [this.heap[left], this.heap[right]];
        if (a !== undefined && b !== undefined) {
            this.heap[left] = b;
            this.heap[right] = a;
        }
    }
}

/** A process that can be killed, or stopped for a while like by SIGSTOP; what reaches it meanwhile waits. */
export class VirtualProcess {
    alive = true;
    private stopped = false;
    private readonly backlog: (() => void)[] = [];

    constructor(private readonly time: VirtualTime) {}

    /** Whether it runs code now. */
    get running(): boolean {
        return this.alive && !this.stopped;
    }

    /** Lets something happen in the process: now, when it is continued, or never if it was killed. */
    run(action: () => void): void {
        if (this.stopped) {
            this.backlog.push(action);
        }
        else if (this.alive) {
            action();
        }
    }

    stop(): void {
        this.stopped = true;
    }

    /** Continues; what waited happens one after the other from now on. */
    continue(): void {
        this.stopped = false;
        for (const action of this.backlog.splice(0)) {
            this.time.schedule(0, () => {
                this.run(action);
            });
        }
    }
}

/** The clock of a virtual process: it runs at its own rate, and its wall clock may jump. */
export class VirtualClock extends Clock {
    wallOffset = 0;

    constructor(
        private readonly time: VirtualTime,
        private readonly process: VirtualProcess,
        readonly rate: number,
    ) {
        super();
    }

    override now(): number {
        return this.time.now * this.rate;
    }

    override unixNow(): number {
        return this.time.now + this.wallOffset;
    }

    override async sleep(duration: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return;
        }
        await new Promise<void>(resolve => {
            const wake = (): void => {
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            signal?.addEventListener("abort", wake, { once: true });
            this.time.schedule(duration / this.rate, () => {
                this.process.run(wake);
            });
        });
    }
}
