import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { checkOwner, ownerOf, voteFileName } from "./groupFiles.js";
import type { GroupFiles } from "./groupFiles.js";
import { encodeRecord } from "./recordCodec.js";
import { readSoleRecord } from "./singleRecord.js";

const voteSchema = z.object({
    cluster: z.string(),
    group: z.string(),
    memberId: z.string(),
    term: z.int().nonnegative(),
    votedFor: z.string().optional(),
});

/** The newest term that a member has seen and its vote in it; durable before any answer that depends on it. */
export class VoteRecord {
    private constructor(
        private readonly files: GroupFiles,
        private storedTerm: number,
        private storedVote: string | undefined,
    ) {}

    /** Reads the record; undefined when the group has none yet. */
    static async load(files: GroupFiles): Promise<Result<VoteRecord | undefined, Failure>> {
        const name = voteFileName(files.group);
        const record = await readSoleRecord(files.storage, name);
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

    /** Writes the first record of a group. */
    static async create(files: GroupFiles): Promise<Result<VoteRecord, Failure>> {
        const record = new VoteRecord(files, 0, undefined);
        const written = await record.save(0, undefined);
        return written.ok ? Ok(record) : written;
    }

    /** The durable term. */
    get term(): number {
        return this.storedTerm;
    }

    /** Identity of the member that has the durable vote of {@link term}. */
    get votedFor(): string | undefined {
        return this.storedVote;
    }

    /** Makes a term and a vote durable. */
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
