/** A member of an {@link IndexedHeap}; it allows changes of its key in logarithmic time. */
export interface HeapMember<T> {
    readonly value: T;
    /** The member with the smallest key is first. */
    key: number;
    /** Breaks ties in the order of insertion. */
    readonly sequence: number;
    /** Index in the heap, or -1 when it is not a member. */
    position: number;
}

/** A binary min-heap whose members can change their key or leave in logarithmic time. */
export class IndexedHeap<T> {
    private readonly members: HeapMember<T>[] = [];
    private nextSequence = 0;

    /** Number of members. */
    get size(): number {
        return this.members.length;
    }

    /** The member with the smallest key. */
    get first(): HeapMember<T> | undefined {
        return this.members[0];
    }

    /** Adds a value with a key. */
    insert(value: T, key: number): HeapMember<T> {
        const member = { value, key, sequence: this.nextSequence, position: this.members.length };
        this.nextSequence += 1;
        this.members.push(member);
        this.raise(member);
        return member;
    }

    /** Changes the key of a member. */
    update(member: HeapMember<T>, key: number): void {
        member.key = key;
        this.raise(member);
        this.lower(member);
    }

    /** Removes a member; does nothing when it has left already. */
    delete(member: HeapMember<T>): void {
        const position = member.position;
        if (position < 0) {
            return;
        }
        const last = this.members.pop();
        member.position = -1;
        if (last === undefined || last === member) {
            return;
        }
        this.place(last, position);
        this.raise(last);
        this.lower(last);
    }

    private raise(member: HeapMember<T>): void {
        while (member.position > 0) {
            const parent = this.members[(member.position - 1) >> 1];
            if (parent === undefined || !isBefore(member, parent)) {
                return;
            }
            this.swap(member, parent);
        }
    }

    private lower(member: HeapMember<T>): void {
        for (;;) {
            const child = this.smallerChild(member.position);
            if (child === undefined || !isBefore(child, member)) {
                return;
            }
            this.swap(member, child);
        }
    }

    private smallerChild(position: number): HeapMember<T> | undefined {
        const left = this.members[2 * position + 1];
        const right = this.members[2 * position + 2];
        if (left === undefined || right === undefined) {
            return left;
        }
        return isBefore(right, left) ? right : left;
    }

    private swap(one: HeapMember<T>, other: HeapMember<T>): void {
        const position = one.position;
        this.place(one, other.position);
        this.place(other, position);
    }

    private place(member: HeapMember<T>, position: number): void {
        member.position = position;
        this.members[position] = member;
    }
}

function isBefore<T>(one: HeapMember<T>, other: HeapMember<T>): boolean {
    return one.key < other.key || (one.key === other.key && one.sequence < other.sequence);
}
