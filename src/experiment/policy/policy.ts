import type { SummaryRemoteLoad } from "../../request/admission/remoteLoad.js";
import type { TieredQueue } from "../../request/admission/tieredQueue.js";
import type { AdmissionQueue } from "../../request/admissionQueue.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { EngineSpeed } from "./engineModel.js";

/** What the creation of a queue may use. */
export interface PolicyContext {
    /** The true output length; for the oracle alone. */
    readonly trueOutput: (request: PendingRequest) => number;
    readonly engineSpeed: EngineSpeed;
    /** Entries that share the pool. */
    readonly entries: number;
}

/** The admission of one entry; the coordinated part is absent where entries tell each other nothing. */
export interface EntryAdmission {
    readonly queue: AdmissionQueue;
    readonly coordination?: {
        readonly queue: TieredQueue;
        readonly neighbours: SummaryRemoteLoad;
    };
}

/** A way to decide admission that an experiment compares with others. */
export abstract class Policy {
    abstract readonly name: string;
    abstract readonly description: string;
    /** Whether queues see the team of a request. */
    readonly seesTeams: boolean = true;
    /** Whether one entry with true and present load stands in for all of them. */
    readonly omniscient: boolean = false;

    /** Makes the admission of one entry. */
    abstract createAdmission(context: PolicyContext): EntryAdmission;
}
