import { committablePosition } from "../../../src/process/replicatedLog/commitRule.js";
import type { Member } from "../../../src/process/replicatedLog/membership.js";
import { describe, it } from "../../describe.js";

/** Terms of the entries 1 to 5. */
const terms = [1, 1, 2, 2, 4];

describe("committablePosition", () => {
    const cases: readonly (readonly [string, number, readonly number[], number])[] = [
        ["an entry of the own term that a majority has", 4, [5, 5, 0], 5],
        ["nothing while only older entries are on a majority", 4, [5, 4, 4], 0],
        ["an older entry of its own term, not a newer one of a minority", 2, [4, 3, 1], 3],
        ["what three of five have", 4, [5, 5, 5, 0, 0], 5],
        ["nothing that two of five have", 4, [5, 5, 2, 2, 2], 0],
    ];
    for (const [title, term, durable, expected] of cases) {
        it(`gives ${title}`, t => {
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
