import type { ConfigurationSnapshot } from "./configurationChange.js";

/** Finds the digest of a team's key, whether issued or listed in the manifest; undefined if there is no such key. */
export function findKeyDigest(snapshot: ConfigurationSnapshot, team: string, name: string): string | undefined {
    const manifestKeys = snapshot.manifest?.teams.find(candidate => candidate.name === team)?.keys;
    const issuedKey = snapshot.issuedKeys.find(candidate => candidate.team === team && candidate.key.name === name);
    return issuedKey?.key.digest ?? manifestKeys?.find(key => key.name === name)?.digest;
}
