import test from "ava";
import type { ImplementationFn } from "ava";

/** Registers a test under the titles of the enclosing {@link describe} blocks. */
export type It = (title: string, implementation: ImplementationFn<[]>) => void;

const titles: string[] = [];

/** Groups tests; groups may nest, and their titles are prepended to the title of each test. */
export function describe(title: string, block: () => void): void {
    titles.push(title);
    block();
    titles.pop();
}

/** Registers a test that may run concurrently with other tests of its file. */
export const it: It = (title, implementation) => {
    test([...titles, title].join(" › "), implementation);
};

/** Registers a test that never runs concurrently with other tests of its file. */
export const itSerially: It = (title, implementation) => {
    test.serial([...titles, title].join(" › "), implementation);
};
