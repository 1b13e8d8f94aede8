import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/clock.js";

const carriageReturn = 13;
const lineFeed = 10;

/** Received bytes that wait until the earlier requests of their connection have been answered. */
interface HeldBytes {
    readonly bytes: Buffer;
    readonly receivedAt: Milliseconds;
}

/** Estimated memory of incomplete headers, as a multiple of their size: the parser keeps each line by itself. */
const headerMemoryFactor = 8;

/** Number of received bytes above which reading from a connection is paused. */
const maximumHeldBytes = 64 * 1024;

/**
 * Passes the requests of a connection to the HTTP parser one after the other: the next one only when the response to the
 * one before has been sent.
 *
 * The parser of `node:http` handles all requests that arrive together at once, whether or not their responses are read.
 * Therefore the `data` events of the socket are split where the headers of a request end. While a request is under way,
 * later bytes are held; reading continues up to a limit, so that the end of the connection is noticed.
 */
export class PipelinedConnection {
    private readonly emit: Socket["emit"];
    private readonly responses = new Set<ServerResponse>();
    private newestRequest: IncomingMessage | undefined;
    private held: HeldBytes[] = [];
    private heldByteCount = 0;
    /** Number of bytes of headers that are not complete. */
    private headerBytes = 0;
    private countedBytes = 0;
    private isReadingPaused = false;
    private isAbandoned = false;
    /** Number of bytes that the body of the newest request still lacks, if its length is known. */
    private missingBodyBytes = 0;
    private passedBytesReceivedAt: Milliseconds = 0;

    /**
     * @param socket A socket whose `data` events the HTTP server already listens to.
     * @param now Returns the present time.
     * @param onReleasable Called when bytes are held and no request is under way any more.
     * @param onRetained Called with the change when the estimated memory of received bytes has changed.
     */
    constructor(
        readonly socket: Socket,
        private readonly now: () => Milliseconds,
        private readonly onReleasable: () => void,
        private readonly onRetained: (change: number) => void,
    ) {
        this.emit = socket.emit.bind(socket);
        socket.emit = (event: string | symbol, ...parameters: unknown[]): boolean => {
            if (event !== "data") {
                return this.emit(event, ...parameters);
            }
            this.receive(parameters[0] as Buffer);
            return true;
        };
        // A listener that is added makes the server parse `data` events instead of reading from the handle itself.
        const listener = (): void => undefined;
        socket.on("data", listener).removeListener("data", listener);
    }

    /** Whether a request is under way: its response has not been sent yet. */
    get isActive(): boolean {
        return this.responses.size > 0;
    }

    /** Whether received bytes wait for the responses to earlier requests. */
    get holdsBytes(): boolean {
        return this.held.length > 0;
    }

    /** Whether all of the newest request has arrived. */
    get isNewestComplete(): boolean {
        return this.newestRequest?.complete ?? true;
    }

    /** Whether a request is under way of which nothing is missing, so that it may run. */
    get hasCompleteRequest(): boolean {
        return this.isActive && (this.responses.size > 1 || this.isNewestComplete);
    }

    /** Whether a part of a response has been sent whose request is under way. */
    get hasBegunResponse(): boolean {
        return [...this.responses].some(response => response.headersSent);
    }

    /** When the bytes that were passed last were received. */
    get receivedAt(): Milliseconds {
        return this.passedBytesReceivedAt;
    }

    /** Estimated memory of the received bytes that are not yet a request, in bytes. */
    get retainedBytes(): number {
        return this.countedBytes;
    }

    /** Records a request that begins; `onSent` is called when its response has been sent or its connection has closed. */
    begin(request: IncomingMessage, response: ServerResponse, onSent: () => void): void {
        this.newestRequest = request;
        this.headerBytes = 0;
        this.responses.add(response);
        this.missingBodyBytes = Number(request.headers["content-length"] ?? 0);
        response.once("close", () => {
            this.responses.delete(response);
            onSent();
            if (this.holdsBytes && !this.isBlocked) {
                this.onReleasable();
            }
        });
    }

    /** Passes held bytes to the parser until a request is under way again. */
    release(): void {
        for (let next = this.isBlocked ? undefined : this.held.shift(); next !== undefined;) {
            this.heldByteCount -= next.bytes.length;
            this.pass(next);
            this.countRetained();
            next = this.isBlocked ? undefined : this.held.shift();
        }
        if (this.isReadingPaused && this.heldByteCount <= maximumHeldBytes) {
            this.isReadingPaused = false;
            this.socket.resume();
        }
    }

    /** Reads no further requests; the connection is closed when those under way have been answered. */
    abandon(): void {
        this.isAbandoned = true;
        this.held = [];
        this.heldByteCount = 0;
        this.countRetained();
        this.socket.pause();
        if (this.responses.size === 0) {
            this.socket.destroySoon();
        }
        this.responses.forEach(response => {
            response.shouldKeepAlive = false;
            response.once("close", () => {
                this.socket.destroySoon();
            });
        });
    }

    /** Whether the next request has to wait; the rest of an incomplete one never has to. */
    private get isBlocked(): boolean {
        return this.isAbandoned || this.socket.destroyed || (this.isActive && this.isNewestComplete);
    }

    private receive(bytes: Buffer): void {
        const received = { bytes, receivedAt: this.now() };
        if (this.isAbandoned) {
            return;
        }
        if (this.holdsBytes || this.isBlocked) {
            this.held.push(received);
            this.countHeld(bytes.length);
        }
        else {
            this.pass(received);
        }
        this.countRetained();
    }

    private pass({ bytes, receivedAt }: HeldBytes): void {
        this.passedBytesReceivedAt = receivedAt;
        for (let offset = 0; offset < bytes.length;) {
            if (this.isBlocked) {
                const rest = bytes.subarray(offset);
                this.held.unshift({ bytes: rest, receivedAt });
                this.countHeld(rest.length);
                return;
            }
            const end = this.endOfPortion(bytes, offset);
            const isBody = this.missingBodyBytes > 0 || !this.isNewestComplete;
            this.headerBytes += isBody ? 0 : end - offset;
            this.emit("data", bytes.subarray(offset, end));
            offset = end;
        }
    }

    private countHeld(bytes: number): void {
        this.heldByteCount += bytes;
        if (this.heldByteCount > maximumHeldBytes) {
            this.isReadingPaused = true;
            this.socket.pause();
        }
    }

    private countRetained(): void {
        const bytes = this.heldByteCount + this.headerBytes * headerMemoryFactor;
        const change = bytes - this.countedBytes;
        if (change !== 0) {
            this.countedBytes = bytes;
            this.onRetained(change);
        }
    }

    /** End of the bytes that can be passed at once, because they contain at most one end of headers. */
    private endOfPortion(bytes: Buffer, offset: number): number {
        if (this.missingBodyBytes > 0) {
            const end = Math.min(bytes.length, offset + this.missingBodyBytes);
            this.missingBodyBytes -= end - offset;
            return end;
        }
        let start = offset;
        while (bytes[start] === carriageReturn || bytes[start] === lineFeed) {
            start++;
        }
        return start > offset ? start : endOfBlankLine(bytes, start);
    }
}

/** End of the first blank line, or of the bytes if there is none. */
function endOfBlankLine(bytes: Buffer, start: number): number {
    const strict = bytes.indexOf("\n\r\n", start);
    const strictEnd = strict < 0 ? bytes.length : strict + "\n\r\n".length;
    const lenient = bytes.subarray(start, strictEnd).indexOf("\n\n");
    return lenient < 0 ? strictEnd : start + lenient + "\n\n".length;
}
