import type { Clock } from "../../util/clock.js";
import type { MeasuredCluster } from "../measuredCluster.js";
import { syntheticTeamName } from "./syntheticManifest.js";

let issuedKeyCount = 0;

/** Issues keys at a constant rate; resolves with the latest configuration version, or 0 if no key was issued. */
export async function issueKeysAtRate(
    measured: MeasuredCluster,
    clock: Clock,
    keysPerSecond: number,
    seconds: number,
): Promise<number> {
    const startedAt = clock.now();
    const versions: Promise<number>[] = [];
    for (let index = 0; index < keysPerSecond * seconds; index++) {
        await clock.sleep(startedAt + (index * 1000) / keysPerSecond - clock.now());
        issuedKeyCount += 1;
        versions.push(
            measured.issueKey(
                syntheticTeamName(issuedKeyCount % 1000),
                `issued-${issuedKeyCount}`,
                `ghk_issued-${issuedKeyCount}`,
            ),
        );
    }
    await clock.sleep(startedAt + seconds * 1000 - clock.now());
    return Math.max(0, ...await Promise.all(versions));
}
