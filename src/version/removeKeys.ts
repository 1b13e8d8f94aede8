import type { Manifest, Team } from "./manifest.js";

/** Returns a manifest without the keys that have the given digests. Unaffected teams are shared, not copied. */
export function removeKeys(manifest: Manifest, digests: ReadonlySet<string>): Manifest {
    if (digests.size === 0) {
        return manifest;
    }
    return { ...manifest, teams: manifest.teams.map(team => removeTeamKeys(team, digests)) };
}

function removeTeamKeys(team: Team, digests: ReadonlySet<string>): Team {
    if (!team.keys.some(key => digests.has(key.digest))) {
        return team;
    }
    return { ...team, keys: team.keys.filter(key => !digests.has(key.digest)) };
}
