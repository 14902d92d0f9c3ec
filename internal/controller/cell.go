package controller

import "sync/atomic"

// Cell holds a value that the control thread replaces and any goroutine may read. A
// published value is never modified.
type Cell[T any] struct {
	value atomic.Pointer[T]
}

// Publish replaces the value.
func (c *Cell[T]) Publish(v *T) { c.value.Store(v) }

// Read returns the latest published value, or nil if there is none yet.
func (c *Cell[T]) Read() *T { return c.value.Load() }
