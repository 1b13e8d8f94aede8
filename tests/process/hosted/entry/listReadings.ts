import type { ListReading } from "../../../../src/process/hosted/entry/listReading.js";

/** Revision of the newest reading that {@link readAt} returned. */
let revision = 0;

/** A reading of another list at a time that is known, which came on the only link. */
export function readAt(time: number): ListReading {
    return { control: "control-1:7121", link: 1, revision: ++revision, age: 0, earliest: time, latest: time };
}
