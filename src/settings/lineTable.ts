/** Maps offsets in a text to line numbers by binary search. */
export class LineTable {
    /** Offsets of the first characters of all lines, in ascending order. */
    private readonly lineStarts: number[] = [0];

    constructor(text: string) {
        for (let index = text.indexOf("\n"); index !== -1; index = text.indexOf("\n", index + 1)) {
            this.lineStarts.push(index + 1);
        }
    }

    /** Line number of an offset, starting at 1. */
    lineAt(offset: number): number {
        let low = 0;
        let high = this.lineStarts.length;
        while (high - low > 1) {
            const middle = Math.floor((low + high) / 2);
            if ((this.lineStarts[middle] ?? Infinity) <= offset) {
                low = middle;
            }
            else {
                high = middle;
            }
        }
        return low + 1;
    }
}
