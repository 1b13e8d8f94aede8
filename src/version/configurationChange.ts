import type { Key, Manifest, Pool, RequestClass, Route, Team } from "./manifest.js";

/** Additions, replacements and removals in a collection whose items are identified by name. */
export interface CollectionChange<Item> {
    /** New and changed items. */
    readonly put: readonly Item[];
    /** Names of removed items. */
    readonly removed: readonly string[];
}

/** The difference between two manifests. */
export interface ManifestChange {
    readonly teams: CollectionChange<Team>;
    readonly classes: CollectionChange<RequestClass>;
    readonly routes: CollectionChange<Route>;
    readonly pools: CollectionChange<Pool>;
    /** Present only if the billing section differs. */
    readonly billing?: Manifest["billing"] | undefined;
}

/** One accepted change of the configuration. */
export type ConfigurationChange =
    | { readonly kind: "manifest"; readonly number: number; readonly change: ManifestChange; }
    | { readonly kind: "keyIssued"; readonly team: string; readonly key: Key; }
    | { readonly kind: "keyWithdrawn"; readonly digest: string; };

/** A change and the version of the configuration after it. */
export interface VersionedChange {
    readonly version: number;
    readonly change: ConfigurationChange;
}

/** A key that was issued by an operator and is not listed in the manifest. */
export interface IssuedKey {
    readonly team: string;
    readonly key: Key;
}

/** The whole configuration at one version, as plain data. Does not contain withdrawn keys. */
export interface ConfigurationSnapshot {
    readonly version: number;
    /** Undefined before the first manifest. */
    readonly manifest: Manifest | undefined;
    readonly issuedKeys: readonly IssuedKey[];
}

/** The configuration before any change. */
export const emptyConfiguration: ConfigurationSnapshot = {
    version: 0,
    manifest: undefined,
    issuedKeys: [],
};
