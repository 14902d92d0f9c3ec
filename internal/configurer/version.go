package configurer

// CurrentKey is the key of the row that holds the version in force.
const CurrentKey = "config/current"

// Version is an accepted version of the configuration, as it is stored.
type Version struct {
	// Number grows by one with every accepted version.
	Number uint64 `json:"number"`
	// ChangeID names the change, so that a repeated one is recognised.
	ChangeID string `json:"change-id"`
	// Base is the base file.
	Base string `json:"base"`
	// Overlays are the sites' overlays, sorted by site.
	Overlays []Overlay `json:"overlays,omitempty"`
}

// Overlay is one site's overlay.
type Overlay struct {
	Site string `json:"site"`
	File string `json:"file"`
}
