import { write, writeSync } from "node:fs";
import type { Milliseconds } from "../util/clock.js";

/** Bytes of lines that may wait; beyond them lines are dropped, so that a slow reader costs neither time nor memory. */
const waitingLimit = 256 * 1024;

/** Pause in which lines are gathered for one write: each write costs a small VM about as much as ten lines. */
const gatherTime: Milliseconds = 200;

/** Writes lines to a file descriptor without ever waiting for it. */
export class LineWriter {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private droppedLines = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    /**
     * @param descriptor Where the lines go.
     * @param droppedLine Makes the line that tells how many lines were dropped.
     */
    constructor(private readonly descriptor: number, private readonly droppedLine: (lines: number) => string) {}

    /** Takes a line without its end; drops it when too many wait. */
    write(line: string): void {
        if (this.waitingBytes > waitingLimit) {
            this.droppedLines++;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length + 1;
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.flush();
        }, gatherTime);
    }

    /** Writes what waits, once, before the process ends. */
    end(): void {
        try {
            writeSync(this.descriptor, this.take());
        }
        catch {
            // The reader is gone or full; there is nowhere left to say so.
        }
    }

    private flush(): void {
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        this.isWriting = true;
        write(this.descriptor, this.take(), () => {
            this.isWriting = false;
            this.flush();
        });
    }

    private take(): string {
        if (this.droppedLines > 0) {
            this.waiting.push(this.droppedLine(this.droppedLines));
            this.droppedLines = 0;
        }
        const text = this.waiting.map(line => `${line}\n`).join("");
        this.waiting = [];
        this.waitingBytes = 0;
        return text;
    }
}
