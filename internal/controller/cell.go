package controller

import "sync/atomic"

// Cell is one entry of the blackboard: a value that the control thread replaces
// and any goroutine reads. A published value is never changed afterwards.
type Cell[T any] struct {
	value atomic.Pointer[T]
}

// Publish replaces the value.
func (c *Cell[T]) Publish(v *T) { c.value.Store(v) }

// Read returns the latest published value, or nil if there is none yet.
func (c *Cell[T]) Read() *T { return c.value.Load() }
