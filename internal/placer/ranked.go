package placer

// ranked is a binary heap whose items know their position, so that one item can be
// moved or removed in logarithmic time. before defines the order. moved is called with
// an item's new position, or -1 when the item is removed.
type ranked[T any] struct {
	items  []T
	before func(a, b T) bool
	moved  func(item T, position int)
}

func (r *ranked[T]) push(item T) {
	r.items = append(r.items, item)
	r.moved(item, len(r.items)-1)
	r.up(len(r.items) - 1)
}

// remove removes the item at a position.
func (r *ranked[T]) remove(position int) {
	last := len(r.items) - 1
	r.moved(r.items[position], -1)
	if position != last {
		r.items[position] = r.items[last]
		r.moved(r.items[position], position)
	}
	var none T
	r.items[last] = none
	r.items = r.items[:last]
	if position != last {
		r.fix(position)
	}
}

// fix restores the order after the item at a position has changed.
func (r *ranked[T]) fix(position int) {
	if !r.down(position) {
		r.up(position)
	}
}

func (r *ranked[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !r.before(r.items[i], r.items[parent]) {
			return
		}
		r.swap(i, parent)
		i = parent
	}
}

func (r *ranked[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(r.items) {
			return i > start
		}
		if child+1 < len(r.items) && r.before(r.items[child+1], r.items[child]) {
			child++
		}
		if !r.before(r.items[child], r.items[i]) {
			return i > start
		}
		r.swap(i, child)
		i = child
	}
}

func (r *ranked[T]) swap(i, j int) {
	r.items[i], r.items[j] = r.items[j], r.items[i]
	r.moved(r.items[i], i)
	r.moved(r.items[j], j)
}
