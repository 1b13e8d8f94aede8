import test from "ava";
import type { ImplementationFn } from "ava";

/** Registers one test under the titles of the enclosing {@link describe} blocks. */
export type It = (title: string, implementation: ImplementationFn<[]>) => void;

const titles: string[] = [];

/** Opens a block of tests; blocks nest, and their titles are joined in front of each test's own. */
export function describe(title: string, block: () => void): void {
    titles.push(title);
    block();
    titles.pop();
}

/** Registers a test that may run beside others of its file. */
export const it: It = (title, implementation) => {
    test([...titles, title].join(" › "), implementation);
};

/** Registers a test that runs alone in its file. */
export const itSerially: It = (title, implementation) => {
    test.serial([...titles, title].join(" › "), implementation);
};
