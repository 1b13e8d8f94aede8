import { Clock } from "../../../src/util/clock.js";

/** An action scheduled for a point in virtual time. */
interface ScheduledAction {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
}

/** Virtual time in milliseconds; it advances from one scheduled action to the next. */
export class VirtualTime {
    now = 0;
    private order = 0;
    private readonly heap: ScheduledAction[] = [];

    /** Schedules an action after a delay. */
    schedule(delayMilliseconds: number, action: () => void): void {
        this.order += 1;
        const scheduled = { at: this.now + Math.max(0, delayMilliseconds), order: this.order, action };
        let index = this.heap.push(scheduled) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                break;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    /** Runs all actions due within a duration; the promise callbacks of each run before the next one. */
    async run(durationMilliseconds: number, afterEach: () => void): Promise<void> {
        const end = this.now + durationMilliseconds;
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
            const earliest = children.sort((a, b) => this.isBefore(a, b) ? -1 : 1)[0];
            if (earliest === undefined || !this.isBefore(earliest, index)) {
                return;
            }
            this.swap(earliest, index);
            index = earliest;
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

/** A process that can be killed, or suspended as by SIGSTOP; actions that reach it while suspended are deferred. */
export class VirtualProcess {
    alive = true;
    private suspended = false;
    private readonly deferredActions: (() => void)[] = [];

    constructor(private readonly time: VirtualTime) {}

    /** Whether the process is alive and not suspended. */
    get running(): boolean {
        return this.alive && !this.suspended;
    }

    /** Runs an action in the process: now, after it is resumed, or never if it has been killed. */
    run(action: () => void): void {
        if (this.suspended) {
            this.deferredActions.push(action);
        }
        else if (this.alive) {
            action();
        }
    }

    suspend(): void {
        this.suspended = true;
    }

    /** Resumes the process, and schedules the deferred actions in order. */
    resume(): void {
        this.suspended = false;
        for (const action of this.deferredActions.splice(0)) {
            this.time.schedule(0, () => {
                this.run(action);
            });
        }
    }
}

/** The clock of a virtual process, with its own rate; its wall clock can jump. */
export class VirtualClock extends Clock {
    wallClockOffset = 0;

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
        return this.time.now + this.wallClockOffset;
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
