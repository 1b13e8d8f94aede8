import { committablePosition } from "../../../src/process/replicatedLog/commitRule.js";
import type { Member } from "../../../src/process/replicatedLog/membership.js";
import { describe, it } from "../../describe.js";

/** Terms of the entries at positions 1 to 5. */
const terms = [1, 1, 2, 2, 4];

describe("committablePosition", () => {
    const cases: readonly (readonly [string, number, readonly number[], number])[] = [
        ["an entry of the current term that a majority stores", 4, [5, 5, 0], 5],
        ["nothing while a majority stores entries of earlier terms only", 4, [5, 4, 4], 0],
        ["an entry of the current term on a majority, not a later one on a minority", 2, [4, 3, 1], 3],
        ["what three of five store", 4, [5, 5, 5, 0, 0], 5],
        ["nothing that only two of five store", 4, [5, 5, 2, 2, 2], 0],
    ];
    for (const [title, term, durable, expected] of cases) {
        it(`commits ${title}`, t => {
            const members = [...durable.keys()].map((index): Member => (
                { memberId: String(index), address: `a${index}`, operatorAddress: "", role: "voter" }
            ));
            const learner: Member = { memberId: "9", address: "a9", operatorAddress: "", role: "learner" };
            const position = committablePosition({
                term,
                membership: { members: [...members, learner] },
                durablePositionOf: memberId => durable[Number(memberId)] ?? 5,
                termAt: at => terms[at - 1],
            });
            t.is(position, expected);
        });
    }
});
