import type { Milliseconds } from "../../../util/clock.js";

/**
 * A reading of the platform's list of endpoints by a control process, and the bounds of its time: messages spend an
 * unknown time in buffers and on the way.
 */
export interface ListReading {
    /** Address of the control process that read the list. */
    readonly control: string;
    /** Number of the link on which the list came, unique within this process; the lists of one link come in order. */
    readonly link: number;
    /** Number of the list; it changes with the content. Undefined if the control process numbers no lists. */
    readonly revision: number | undefined;
    /** Time since the platform was asked, as of the sending of the message. */
    readonly age: Milliseconds;
    /** The platform was asked at this time or later, by the suspension detector's time. */
    readonly earliest: Milliseconds;
    /** The platform was asked at this time or earlier. */
    readonly latest: Milliseconds;
}
