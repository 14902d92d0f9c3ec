package configurer

import (
	"slices"
)

// Difference is one effective value that differs between two versions.
type Difference struct {
	// Site is the site at which the value differs; empty for sites in general.
	Site   string `json:"site,omitempty"`
	Path   string `json:"path"`
	Before string `json:"before,omitempty"` // Before is empty if the key is new.
	After  string `json:"after,omitempty"`  // After is empty if the key is gone.
}

// Differences returns the effective values that differ, those of sites in general
// first. A site is listed only where it differs in another way than sites in
// general do. Either version may be nil, which has no values.
func Differences(before, after *Version) ([]Difference, error) {
	general, err := siteDifferences(before, after, "")
	if err != nil {
		return nil, err
	}
	out := general
	for _, site := range sitesOf(before, after) {
		special, err := siteDifferences(before, after, site)
		if err != nil {
			return nil, err
		}
		for _, d := range special {
			same := slices.ContainsFunc(general, func(g Difference) bool {
				return g.Path == d.Path && g.Before == d.Before && g.After == d.After
			})
			if !same {
				out = append(out, d)
			}
		}
	}
	return out, nil
}

func sitesOf(versions ...*Version) []string {
	var sites []string
	for _, v := range versions {
		if v == nil {
			continue
		}
		for _, o := range v.Overlays {
			sites = append(sites, o.Site)
		}
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

func siteDifferences(before, after *Version, site string) ([]Difference, error) {
	old, err := valuesOf(before, site)
	if err != nil {
		return nil, err
	}
	fresh, err := valuesOf(after, site)
	if err != nil {
		return nil, err
	}
	newText := make(map[string]string)
	for _, v := range fresh {
		newText[v.Path] = v.Text
	}
	oldText := make(map[string]string)
	var out []Difference
	for _, v := range old {
		oldText[v.Path] = v.Text
		if now := newText[v.Path]; now != v.Text {
			out = append(out, Difference{Site: site, Path: v.Path, Before: v.Text, After: now})
		}
	}
	for _, v := range fresh {
		if _, known := oldText[v.Path]; !known {
			out = append(out, Difference{Site: site, Path: v.Path, After: v.Text})
		}
	}
	return out, nil
}

func valuesOf(v *Version, site string) ([]Value, error) {
	if v == nil {
		return nil, nil
	}
	e, err := v.Compose(site)
	if err != nil {
		return nil, err
	}
	return e.Values(), nil
}
