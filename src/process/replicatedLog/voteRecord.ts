import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { checkOwner, ownerOf, voteFileName } from "./groupFiles.js";
import type { GroupFiles } from "./groupFiles.js";
import { encodeRecord } from "./recordCodec.js";
import { readSingleRecord } from "./singleRecord.js";

const voteSchema = z.object({
    cluster: z.string(),
    group: z.string(),
    memberId: z.string(),
    term: z.int().nonnegative(),
    votedFor: z.string().optional(),
});

/** A member's current term and its vote in that term; durable before any response that depends on them. */
export class VoteRecord {
    private constructor(
        private readonly files: GroupFiles,
        private storedTerm: number,
        private storedVote: string | undefined,
    ) {}

    /** Reads the stored record; undefined when the group has none yet. */
    static async load(files: GroupFiles): Promise<Result<VoteRecord | undefined, Failure>> {
        const name = voteFileName(files.group);
        const record = await readSingleRecord(files.storage, name);
        if (record.err) {
            return record;
        }
        if (record.val === undefined) {
            return Ok(undefined);
        }
        const stored = voteSchema.parse(record.val);
        const owner = checkOwner(files, name, stored);
        return owner.ok ? Ok(new VoteRecord(files, stored.term, stored.votedFor)) : owner;
    }

    /** Creates and stores the first record of a group, with term 0 and no vote. */
    static async create(files: GroupFiles): Promise<Result<VoteRecord, Failure>> {
        const record = new VoteRecord(files, 0, undefined);
        const written = await record.save(0, undefined);
        return written.ok ? Ok(record) : written;
    }

    /** The stored term. */
    get term(): number {
        return this.storedTerm;
    }

    /** Identity of the member that has the stored vote in {@link term}; undefined when there is no vote. */
    get votedFor(): string | undefined {
        return this.storedVote;
    }

    /** Durably stores a term and a vote. */
    async save(term: number, votedFor: string | undefined): Promise<Result<void, Failure>> {
        const record = encodeRecord({ ...ownerOf(this.files), term, votedFor });
        const written = await this.files.storage.replace(voteFileName(this.files.group), record);
        if (written.ok) {
            this.storedTerm = term;
            this.storedVote = votedFor;
        }
        return written;
    }
}
