import type { UnixMilliseconds } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";

/** One act that the platform was asked for. */
export interface PlatformAct {
    /** Position among all acts, from 1. */
    readonly number: number;
    readonly kind: "order" | "weightLoad" | "usageReport";
    /** Id of the order or load, or the window of the report. */
    readonly id: string;
    /** Undefined where the sender gave none. */
    readonly fencingNumber: number | undefined;
    /** IP number and port of the sender's end of the connection. */
    readonly sender: string;
    readonly receivedAt: UnixMilliseconds;
    readonly outcome: "acted" | "repeated" | "refused";
}

/** Every act that the platform was asked for, in order of arrival. */
export class ActRecord {
    private readonly list: PlatformAct[] = [];

    /** All acts in order. */
    get all(): readonly PlatformAct[] {
        return this.list;
    }

    /** Notes an act. */
    add(call: StandInCall, act: Omit<PlatformAct, "number" | "sender">): void {
        const socket = call.response.socket;
        const sender = `${socket?.remoteAddress ?? ""}:${socket?.remotePort ?? 0}`;
        this.list.push({ ...act, sender, number: this.list.length + 1 });
    }

    /** The acts that came after an act with a higher fencing number: their senders were no longer in charge. */
    outOfOrder(): readonly PlatformAct[] {
        let newest = 0;
        return this.list.filter(act => {
            const late = act.fencingNumber !== undefined && act.fencingNumber < newest;
            newest = Math.max(newest, act.fencingNumber ?? 0);
            return late;
        });
    }
}
