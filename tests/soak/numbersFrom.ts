/** So many whole numbers in order. */
export function numbersFrom(first: number, count: number): readonly number[] {
    return [...Array(count).keys()].map(index => first + index);
}
