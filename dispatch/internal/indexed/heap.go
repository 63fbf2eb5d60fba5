// Package indexed implements a binary heap whose items store their own position, so that an
// item can be moved or removed in logarithmic time.
package indexed

import "container/heap"

// None is the position of an item that is not in a heap.
const None = -1

// Heap orders items by a less function. Items are pointers to values that store their position
// in a field.
type Heap[T any] struct {
	data data[T]
}

// New returns an empty heap. position returns the address of an item's position; it must be
// None for an item that is not in a heap.
func New[T any](less func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{data: data[T]{less: less, position: position}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.data.items) }

// Min returns the first item; the heap must not be empty.
func (h *Heap[T]) Min() T { return h.data.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.data, item) }

// Pop removes and returns the first item; the heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.data).(T) }

// Remove removes an item; it does nothing if the item is not in the heap.
func (h *Heap[T]) Remove(item T) {
	if p := *h.data.position(item); p != None {
		heap.Remove(&h.data, p)
	}
}

// Fix moves an item whose order has changed; it does nothing if the item is not in the heap.
func (h *Heap[T]) Fix(item T) {
	if p := *h.data.position(item); p != None {
		heap.Fix(&h.data, p)
	}
}

// data implements heap.Interface.
type data[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int
}

func (d *data[T]) Len() int           { return len(d.items) }
func (d *data[T]) Less(i, j int) bool { return d.less(d.items[i], d.items[j]) }

func (d *data[T]) Swap(i, j int) {
	d.items[i], d.items[j] = d.items[j], d.items[i]
	*d.position(d.items[i]) = i
	*d.position(d.items[j]) = j
}

func (d *data[T]) Push(x any) {
	item := x.(T)
	*d.position(item) = len(d.items)
	d.items = append(d.items, item)
}

func (d *data[T]) Pop() any {
	last := len(d.items) - 1
	item := d.items[last]
	var zero T
	d.items[last] = zero
	d.items = d.items[:last]
	*d.position(item) = None
	return item
}
