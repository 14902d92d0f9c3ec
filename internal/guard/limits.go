package guard

// SetMaxWaiting changes the bound of the starts that wait for a slot. What waits
// already stays.
func (g *Guard) SetMaxWaiting(n int) { g.limits.MaxWaiting = n }
