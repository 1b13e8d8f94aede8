import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { IndexedHeap } from "../../src/util/indexedHeap.js";
import { describe, it } from "../describe.js";

describe("IndexedHeap", () => {
    it("keeps the smallest key first after random insertions, updates and deletions", t => {
        const step = fastCheck.tuple(
            fastCheck.constantFrom("insert", "update", "delete"),
            fastCheck.nat(20),
            fastCheck.nat(50),
        );
        const property = fastCheck.property(fastCheck.array(step, { maxLength: 200 }), steps => {
            const heap = new IndexedHeap<number>();
            const members = steps.flatMap(([kind, key]) => kind === "insert" ? [heap.insert(key, key)] : []);
            for (const [kind, key, index] of steps) {
                const member = members[index % Math.max(1, members.length)];
                if (member !== undefined && member.position >= 0 && kind === "update") {
                    heap.update(member, key);
                }
                else if (member !== undefined && kind === "delete") {
                    heap.delete(member);
                }
                const remaining = members.filter(each => each.position >= 0);
                assert.equal(heap.size, remaining.length);
                assert.equal(
                    heap.first?.key,
                    remaining.length === 0 ? undefined : Math.min(...remaining.map(each => each.key)),
                );
            }
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 31 });
        });
    });
});
