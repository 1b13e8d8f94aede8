/** A member of an {@link IndexedHeap}; a handle for changing its key or removing it in logarithmic time. */
export interface HeapNode<T> {
    readonly value: T;
    /** Sort key; the member with the smallest key comes first. */
    key: number;
    /** Insertion number; orders members with equal keys. */
    readonly sequence: number;
    /** Index in the heap array, or -1 after removal. */
    position: number;
}

/** A binary min-heap with key updates and removal of any member in logarithmic time. */
export class IndexedHeap<T> {
    private readonly members: HeapNode<T>[] = [];
    private nextSequence = 0;

    /** Number of members. */
    get size(): number {
        return this.members.length;
    }

    /** The member with the smallest key. */
    get first(): HeapNode<T> | undefined {
        return this.members[0];
    }

    /** Inserts a value with a key. */
    insert(value: T, key: number): HeapNode<T> {
        const member = { value, key, sequence: this.nextSequence, position: this.members.length };
        this.nextSequence += 1;
        this.members.push(member);
        this.siftUp(member);
        return member;
    }

    /** Changes the key of a member. */
    update(member: HeapNode<T>, key: number): void {
        member.key = key;
        this.siftUp(member);
        this.siftDown(member);
    }

    /** Removes a member; has no effect if it was removed before. */
    delete(member: HeapNode<T>): void {
        const position = member.position;
        if (position < 0) {
            return;
        }
        const last = this.members.pop();
        member.position = -1;
        if (last === undefined || last === member) {
            return;
        }
        this.setAt(last, position);
        this.siftUp(last);
        this.siftDown(last);
    }

    private siftUp(member: HeapNode<T>): void {
        while (member.position > 0) {
            const parent = this.members[(member.position - 1) >> 1];
            if (parent === undefined || !isBefore(member, parent)) {
                return;
            }
            this.swap(member, parent);
        }
    }

    private siftDown(member: HeapNode<T>): void {
        for (;;) {
            const child = this.smallerChild(member.position);
            if (child === undefined || !isBefore(child, member)) {
                return;
            }
            this.swap(member, child);
        }
    }

    private smallerChild(position: number): HeapNode<T> | undefined {
        const left = this.members[2 * position + 1];
        const right = this.members[2 * position + 2];
        if (left === undefined || right === undefined) {
            return left;
        }
        return isBefore(right, left) ? right : left;
    }

    private swap(first: HeapNode<T>, second: HeapNode<T>): void {
        const position = first.position;
        this.setAt(first, second.position);
        this.setAt(second, position);
    }

    private setAt(member: HeapNode<T>, position: number): void {
        member.position = position;
        this.members[position] = member;
    }
}

function isBefore<T>(first: HeapNode<T>, second: HeapNode<T>): boolean {
    return first.key < second.key || (first.key === second.key && first.sequence < second.sequence);
}
