/* eslint-disable @typescript-eslint/naming-convention -- names defined by node:stream */
import { channel } from "node:diagnostics_channel";
import type { ClientRequest } from "node:http";
import { Socket } from "node:net";
import type { NetConnectOpts } from "node:net";
import { hasFramedBody } from "./framedBody.js";

/** Channel on which `node:net` publishes the client sockets that it opens. */
const clientSocketChannel = channel("net.client.socket");

type WriteCallback = (error?: Error | null) => void;

/**
 * Client socket that can tell a reset from an orderly end of its connection, even if the reset arrives with the last data.
 *
 * After a read that fills only a part of its buffer, libuv takes a hang-up of the socket for the end of its data without
 * reading again, so that Node.js reports a reset that has arrived with the data as an orderly end. If reading stops
 * after each part, the next read gets the end or the error from the kernel.
 */
export class ClientSocket extends Socket {
    private readsEndFromKernel = false;

    /** Begins to tell resets from an orderly end; each part of the data then takes a turn of the event loop more. */
    beginExactEnd(): void {
        this.readsEndFromKernel = true;
    }

    /** Ends the effect of {@link beginExactEnd}. */
    endExactEnd(): void {
        this.readsEndFromKernel = false;
    }

    /** Called by `node:net` with received data; it stops reading until the next {@link _read} if the result is false. */
    override push(data: unknown, encoding?: BufferEncoding): boolean {
        const mayContinue = super.push(data, encoding);
        return mayContinue && !this.readsEndFromKernel;
    }

    override _read(size: number): void {
        if (!this.readsEndFromKernel) {
            super._read(size);
            return;
        }
        // Reading must not start again before libuv has handled the hang-up that came with the previous data.
        setImmediate(() => {
            super._read(size);
        });
    }

    override _write(data: unknown, encoding: BufferEncoding, callback: WriteCallback): void {
        super._write(data, encoding, this.ignoreClosedPeer(callback));
    }

    override _writev(
        data: readonly { readonly chunk: unknown; readonly encoding: BufferEncoding; }[],
        callback: WriteCallback,
    ): void {
        super._writev?.([...data], this.ignoreClosedPeer(callback));
    }

    /**
     * While the exact end is awaited, ignores that the peer, which has ended its side in order, does not accept further
     * data (EPIPE): what it sent before can still be read. After a reset, writes fail with ECONNRESET first.
     */
    private ignoreClosedPeer(callback: WriteCallback): WriteCallback {
        return error => {
            const isPeerClosed = (error as NodeJS.ErrnoException | undefined)?.code === "EPIPE";
            callback(isPeerClosed && this.readsEndFromKernel ? undefined : error);
        };
    }
}

/** Opens a connection like `connect` of `node:net`. */
export function connectClient(options: NetConnectOpts): ClientSocket {
    const socket = new ClientSocket(options);
    clientSocketChannel.publish({ socket });
    if (options.timeout !== undefined) {
        socket.setTimeout(options.timeout);
    }
    return socket.connect(options);
}

/**
 * Lets a request fail if its connection is reset while it reads a response that is delimited by the end of the connection.
 *
 * The request emits `error` before the response emits `end`, which `node:http` emits for such a response in any case.
 * Its connection must have been opened by {@link connectClient}.
 */
export function detectResetOfUnframedBody(request: ClientRequest): void {
    request.once("response", message => {
        const { socket } = message;
        if (!(socket instanceof ClientSocket) || hasFramedBody(message)) {
            return;
        }
        socket.beginExactEnd();
        message.once("end", () => {
            socket.endExactEnd();
        });
    });
}
