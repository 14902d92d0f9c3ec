package guard

// SetMaxWaiting changes the bound of the starts that wait for a slot. Starts that
// already wait stay queued.
func (g *Guard) SetMaxWaiting(n int) { g.limits.MaxWaiting = n }
