import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { splitAddress } from "../../src/util/socketAddress.js";
import { readProcessUse } from "./processUse.js";

/** Clients that send much and read nothing. */
export interface Crowd {
    /** Number of connections; 40 by default. */
    readonly connections?: number;
    /** What each connection sends, over and over. */
    readonly content: Buffer;
    /** How much each connection sends at most, in bytes; 8 MB by default. */
    readonly bytesAhead?: number;
}

/** The process under test. */
export interface CrowdTarget {
    /** Address to which the crowd connects. */
    readonly address: string;
    readonly processId: number;
    /** Sends one ordinary request; returns whether it was answered. */
    readonly sendOrdinaryRequest: () => Promise<boolean>;
}

/** Memory of a process of the smallest deployment, in bytes: 350 MB. */
const memoryBound = 350_000_000;

/** Descriptors that a process of the smallest deployment may have open. */
const descriptorBound = 4_100;

/** Size of one write, in bytes. */
const writeSize = 64 * 1024;

/** Time after which a connection that takes none of its bytes sends no more, in milliseconds. */
const stallTime = 1_500;

/** Time after which the crowd sends no more in any case, in milliseconds. */
const longestTime = 12_000;

/** Lets a crowd send until the process takes nothing more; checks that the process lives, stays small and answers. */
export async function checkAgainstCrowd(t: ExecutionContext, target: CrowdTarget, crowd: Crowd): Promise<void> {
    const { connections = 40, content, bytesAhead = 8_000_000 } = crowd;
    const sockets = Array.from({ length: connections }, () => openUnread(target.address));
    const piece = repeat(content, writeSize);
    const endAt = performance.now() + longestTime;
    await Promise.all(sockets.map(socket => sendAhead(socket, piece, bytesAhead, endAt)));
    const during = await readProcessUse(target.processId);
    t.true(during.isAlive);
    t.true(during.descriptors < descriptorBound);
    sockets.forEach(socket => socket.destroy());
    const wasAnswered = await target.sendOrdinaryRequest();
    const { isAlive, peakMemory } = await readProcessUse(target.processId);
    t.true(isAlive);
    t.true(peakMemory < memoryBound, `${peakMemory} bytes`);
    t.true(wasAnswered);
}

function openUnread(address: string): Socket {
    const socket = connect(splitAddress(address));
    socket.on("error", () => undefined);
    socket.pause();
    return socket;
}

function repeat(content: Buffer, minimumLength: number): Buffer {
    const copies = Math.max(1, Math.ceil(minimumLength / content.length));
    return Buffer.concat(Array.from({ length: copies }, () => content));
}

async function sendAhead(socket: Socket, piece: Buffer, bytesAhead: number, endAt: number): Promise<void> {
    for (let sent = 0; sent < bytesAhead && !socket.destroyed && performance.now() < endAt;) {
        const start = sent % piece.length;
        const part = piece.subarray(start, Math.min(start + writeSize, start + bytesAhead - sent));
        sent += part.length;
        if (!socket.write(part) && !await isDrained(socket)) {
            return;
        }
    }
}

/** Waits until a socket has sent what was written; false if it was closed, or takes too long. */
async function isDrained(socket: Socket): Promise<boolean> {
    const controller = new AbortController();
    const { signal } = controller;
    const result = await Promise.race([
        once(socket, "drain", { signal }).then(() => true, () => false),
        once(socket, "close", { signal }).then(() => false, () => false),
        sleep(stallTime, false),
    ]);
    controller.abort();
    return result;
}
