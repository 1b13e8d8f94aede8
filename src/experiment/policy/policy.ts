import type { SummaryRemoteLoad } from "../../request/admission/remoteLoad.js";
import type { TieredQueue } from "../../request/admission/tieredQueue.js";
import type { AdmissionQueue } from "../../request/admissionQueue.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { EngineSpeed } from "./engineModel.js";

/** Parameters for the creation of an entry's admission. */
export interface PolicyContext {
    /** Returns the actual number of output tokens of a request; only for the oracle. */
    readonly trueOutputTokens: (request: PendingRequest) => number;
    readonly engineSpeed: EngineSpeed;
    /** Number of entries that share the pool. */
    readonly entryCount: number;
}

/** Admission of one entry; `coordination` is absent if the entries exchange no summaries. */
export interface EntryAdmission {
    readonly queue: AdmissionQueue;
    readonly coordination?: {
        readonly queue: TieredQueue;
        readonly remoteLoad: SummaryRemoteLoad;
    };
}

/** An admission policy to compare with others. */
export abstract class Policy {
    abstract readonly name: string;
    abstract readonly description: string;
    /** Whether requests include their team. */
    readonly includesTeam: boolean = true;
    /** Whether a single entry replaces all entries and therefore knows the whole load. */
    readonly isCentralized: boolean = false;

    /** Creates the admission of one entry. */
    abstract createAdmission(context: PolicyContext): EntryAdmission;
}
