/** A node of a {@link LinkedList}; a handle for removing its value in constant time. */
export interface ListNode<T> {
    readonly value: T;
    previous: ListNode<T> | undefined;
    next: ListNode<T> | undefined;
    list: LinkedList<T> | undefined;
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

    /** The first value; undefined if the list is empty. */
    get first(): T | undefined {
        return this.head?.value;
    }

    /** The last value; undefined if the list is empty. */
    get last(): T | undefined {
        return this.tail?.value;
    }

    /** Appends a value and returns its node. */
    append(value: T): ListNode<T> {
        const node: ListNode<T> = { value, previous: this.tail, next: undefined, list: this };
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

    /** Removes a node; returns false if it is not in this list. */
    delete(node: ListNode<T>): boolean {
        if (node.list !== this) {
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
        node.list = undefined;
        this.count -= 1;
        return true;
    }

    /** Iterates from first to last; the visited value may be deleted during iteration. */
    *[Symbol.iterator](): IterableIterator<T> {
        let node = this.head;
        while (node !== undefined) {
            const next: ListNode<T> | undefined = node.next;
            yield node.value;
            node = next;
        }
    }

    /** Iterates from last to first; the visited value may be deleted during iteration. */
    *reversed(): IterableIterator<T> {
        let node = this.tail;
        while (node !== undefined) {
            const previous: ListNode<T> | undefined = node.previous;
            yield node.value;
            node = previous;
        }
    }
}
