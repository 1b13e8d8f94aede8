import type { Clock } from "../../util/clock.js";
import type { MeasuredCluster } from "../measuredCluster.js";
import { slopeTeam } from "./slopeManifest.js";

let issued = 0;

/** Issues keys at a steady rate; resolves with the last version. */
export async function issueKeysAtRate(
    measured: MeasuredCluster,
    clock: Clock,
    perSecond: number,
    seconds: number,
): Promise<number> {
    const start = clock.now();
    const versions: Promise<number>[] = [];
    for (let index = 0; index < perSecond * seconds; index++) {
        await clock.sleep(start + (index * 1000) / perSecond - clock.now());
        issued += 1;
        versions.push(measured.issueKey(slopeTeam(issued % 1000), `issued-${issued}`, `ghk_issued-${issued}`));
    }
    await clock.sleep(start + seconds * 1000 - clock.now());
    return Math.max(0, ...await Promise.all(versions));
}
