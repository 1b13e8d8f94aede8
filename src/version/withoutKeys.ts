import type { Manifest, Team } from "./manifest.js";

/** The manifest without the keys of the given digests; teams that list none of them are shared with the original. */
export function withoutKeys(manifest: Manifest, digests: ReadonlySet<string>): Manifest {
    if (digests.size === 0) {
        return manifest;
    }
    return { ...manifest, teams: manifest.teams.map(team => teamWithoutKeys(team, digests)) };
}

function teamWithoutKeys(team: Team, digests: ReadonlySet<string>): Team {
    if (!team.keys.some(key => digests.has(key.digest))) {
        return team;
    }
    return { ...team, keys: team.keys.filter(key => !digests.has(key.digest)) };
}
