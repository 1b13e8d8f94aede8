import type { UnixMilliseconds } from "../../util/clock.js";
import type { ManifestChange } from "../../version/configurationChange.js";
import type { Key } from "../../version/manifest.js";

/** The operator who submitted a change, and the time at which it was received. */
export interface ChangeOrigin {
    readonly operator: string;
    readonly receivedAt: UnixMilliseconds;
}

/** Commands of the replicated log to the configuration section. */
export type ConfigurationCommand =
    | {
        readonly kind: "submitManifest";
        readonly number: number;
        /** Digest of the submitted manifest. */
        readonly digest: string;
        /** Configuration version that `change` was computed against. */
        readonly baseVersion: number;
        readonly change: ManifestChange;
        readonly origin: ChangeOrigin;
    }
    | { readonly kind: "issueKey"; readonly team: string; readonly key: Key; readonly origin: ChangeOrigin; }
    | { readonly kind: "withdrawKey"; readonly digest: string; readonly origin: ChangeOrigin; };

/** The outcome of a configuration command. */
export type ConfigurationOutcome =
    | { readonly kind: "accepted"; readonly version: number; readonly repeated: boolean; }
    | { readonly kind: "conflict"; readonly number: number; }
    | { readonly kind: "stale"; readonly number: number; readonly current: number; }
    /** The change was computed against another version and must be recomputed against this one. */
    | { readonly kind: "rebase"; readonly version: number; }
    | { readonly kind: "unknownTeam"; readonly team: string; }
    | { readonly kind: "keyWasWithdrawn"; };

/** Record of an accepted change. */
export interface AcceptedChange {
    readonly version: number;
    /** Number of the manifest; undefined for a change of a single key. */
    readonly number: number | undefined;
    readonly digest: string;
    readonly operator: string;
    readonly receivedAt: UnixMilliseconds;
}
