import type { ConfigurationSnapshot } from "./configurationChange.js";

/** The digest of a team's key, from the manifest or issued beside it; undefined where no such key is in force. */
export function findKeyDigest(snapshot: ConfigurationSnapshot, team: string, name: string): string | undefined {
    const listed = snapshot.manifest?.teams.find(candidate => candidate.name === team)?.keys;
    const issued = snapshot.issuedKeys.find(candidate => candidate.team === team && candidate.key.name === name);
    return issued?.key.digest ?? listed?.find(key => key.name === name)?.digest;
}
