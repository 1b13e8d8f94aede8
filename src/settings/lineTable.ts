/** Finds the line of an offset in a text in logarithmic time. */
export class LineTable {
    /** Offsets at which lines begin, in ascending order. */
    private readonly starts: number[] = [0];

    constructor(text: string) {
        for (let index = text.indexOf("\n"); index !== -1; index = text.indexOf("\n", index + 1)) {
            this.starts.push(index + 1);
        }
    }

    /** Line of an offset, counted from 1. */
    lineAt(offset: number): number {
        let low = 0;
        let high = this.starts.length;
        while (high - low > 1) {
            const middle = Math.floor((low + high) / 2);
            if ((this.starts[middle] ?? Infinity) <= offset) {
                low = middle;
            }
            else {
                high = middle;
            }
        }
        return low + 1;
    }
}
