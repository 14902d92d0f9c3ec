package configurer

// Key describes one key for operators.
type Key struct {
	Path     string // Path contains NAME in place of the name of an element.
	Kind     string
	Help     string
	Default  string // Default is empty for a key that the base must set.
	Overlay  bool   // Overlay is set if an overlay may set the key.
	Required bool
}

// Keys returns every key in the order of the tables.
func Keys() []Key {
	var out []Key
	defaults := Default()
	for _, f := range configFields {
		f.keys(&defaults, f.key, func(k Key) { out = append(out, k) })
	}
	return out
}
