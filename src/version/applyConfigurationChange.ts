import { match } from "ts-pattern";
import { applyManifestChange } from "./applyManifestChange.js";
import type { ConfigurationSnapshot, VersionedChange } from "./configurationChange.js";
import { removeKeys } from "./removeKeys.js";

/** Returns the configuration after a change. Throws if the change does not belong to the next version. */
export function applyConfigurationChange(
    before: ConfigurationSnapshot,
    versionedChange: VersionedChange,
): ConfigurationSnapshot {
    if (versionedChange.version !== before.version + 1) {
        throw new Error(`Change ${versionedChange.version} does not follow version ${before.version}.`);
    }
    const next = { ...before, version: versionedChange.version };
    return match(versionedChange.change)
        .with({ kind: "manifest" }, ({ number, change }) => ({
            ...next,
            manifest: applyManifestChange(before.manifest, number, change),
        }))
        .with({ kind: "keyIssued" }, ({ team, key }) => ({
            ...next,
            issuedKeys: [...before.issuedKeys, { team, key }],
        }))
        .with({ kind: "keyWithdrawn" }, ({ digest }) => ({
            ...next,
            issuedKeys: before.issuedKeys.filter(issued => issued.key.digest !== digest),
            manifest: before.manifest === undefined ? undefined : removeKeys(before.manifest, new Set([digest])),
        }))
        .exhaustive();
}
