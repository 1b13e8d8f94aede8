/** Returns consecutive integers, beginning with the first. */
export function integerRange(first: number, count: number): readonly number[] {
    return [...Array(count).keys()].map(index => first + index);
}
