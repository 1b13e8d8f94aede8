/** A place in a {@link LinkedList}; it allows removal in constant time. */
export interface ListNode<T> {
    readonly value: T;
    previous: ListNode<T> | undefined;
    next: ListNode<T> | undefined;
    owner: LinkedList<T> | undefined;
}

/** A doubly linked list whose operations all take constant time. */
export class LinkedList<T> {
    private head: ListNode<T> | undefined;
    private tail: ListNode<T> | undefined;
    private count = 0;

    /** Number of values. */
    get size(): number {
        return this.count;
    }

    /** The value at the front. */
    get first(): T | undefined {
        return this.head?.value;
    }

    /** The value at the back. */
    get last(): T | undefined {
        return this.tail?.value;
    }

    /** Adds a value at the back. */
    append(value: T): ListNode<T> {
        const node: ListNode<T> = { value, previous: this.tail, next: undefined, owner: this };
        if (this.tail === undefined) {
            this.head = node;
        }
        else {
            this.tail.next = node;
        }
        this.tail = node;
        this.count += 1;
        return node;
    }

    /** Removes a value by its place; false when the place is not in this list. */
    delete(node: ListNode<T>): boolean {
        if (node.owner !== this) {
            return false;
        }
        if (node.previous === undefined) {
            this.head = node.next;
        }
        else {
            node.previous.next = node.next;
        }
        if (node.next === undefined) {
            this.tail = node.previous;
        }
        else {
            node.next.previous = node.previous;
        }
        node.previous = undefined;
        node.next = undefined;
        node.owner = undefined;
        this.count -= 1;
        return true;
    }

    /** The values from front to back; a value may be deleted while it is visited. */
    *[Symbol.iterator](): IterableIterator<T> {
        let node = this.head;
        while (node !== undefined) {
            const next: ListNode<T> | undefined = node.next;
            yield node.value;
            node = next;
        }
    }

    /** The values from back to front; a value may be deleted while it is visited. */
    *reversed(): IterableIterator<T> {
        let node = this.tail;
        while (node !== undefined) {
            const previous: ListNode<T> | undefined = node.previous;
            yield node.value;
            node = previous;
        }
    }
}
