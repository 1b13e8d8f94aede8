import { write, writeSync } from "node:fs";
import type { Milliseconds } from "../util/clock.js";

/**
 * Lines are dropped while more than this number of characters is buffered, so that a slow reader neither blocks the
 * process nor exhausts its memory.
 */
const maximumPendingCharacters = 256 * 1024;

/** How long lines are batched for one write: on a small VM each write costs about as much as ten lines. */
const batchDelay: Milliseconds = 200;

/** Buffers lines and writes them to a file descriptor without blocking. */
export class LineWriter {
    private pendingLines: string[] = [];
    private pendingCharacters = 0;
    private droppedLineCount = 0;
    private isWriting = false;
    private flushTimer: NodeJS.Timeout | undefined;

    /**
     * @param descriptor File descriptor that receives the lines.
     * @param formatDroppedLine Formats the line that reports how many lines were dropped.
     */
    constructor(private readonly descriptor: number, private readonly formatDroppedLine: (lines: number) => string) {}

    /** Buffers a line, passed without its line break; drops it if the buffer is full. */
    write(line: string): void {
        if (this.pendingCharacters > maximumPendingCharacters) {
            this.droppedLineCount++;
            return;
        }
        this.pendingLines.push(line);
        this.pendingCharacters += line.length + 1;
        this.flushTimer ??= setTimeout(() => {
            this.flushTimer = undefined;
            this.flush();
        }, batchDelay);
    }

    /** Writes the buffered lines synchronously; call it once, before the process exits. */
    end(): void {
        try {
            writeSync(this.descriptor, this.takePendingText());
        }
        catch {
            // The reader closed the pipe or does not read; the error cannot be reported anywhere else.
        }
    }

    private flush(): void {
        if (this.isWriting || this.pendingLines.length === 0) {
            return;
        }
        this.isWriting = true;
        write(this.descriptor, this.takePendingText(), () => {
            this.isWriting = false;
            this.flush();
        });
    }

    private takePendingText(): string {
        if (this.droppedLineCount > 0) {
            this.pendingLines.push(this.formatDroppedLine(this.droppedLineCount));
            this.droppedLineCount = 0;
        }
        const text = this.pendingLines.map(line => `${line}\n`).join("");
        this.pendingLines = [];
        this.pendingCharacters = 0;
        return text;
    }
}
