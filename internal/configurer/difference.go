package configurer

import (
	"slices"
)

// Difference is one effective value that differs between two versions.
type Difference struct {
	// Site is the site at which the value differs. It is empty for a difference that
	// concerns sites without an overlay.
	Site   string `json:"site,omitempty"`
	Path   string `json:"path"`
	Before string `json:"before,omitempty"` // Before is empty if the key is new.
	After  string `json:"after,omitempty"`  // After is empty if the key was removed.
}

// Differences returns the effective values that differ between two versions. The
// differences for sites without an overlay are listed first; a site with an overlay
// follows only with differences that are not among them. A nil version has no values.
func Differences(before, after *Version) ([]Difference, error) {
	general, err := siteDifferences(before, after, "")
	if err != nil {
		return nil, err
	}
	out := general
	for _, site := range sitesOf(before, after) {
		siteSpecific, err := siteDifferences(before, after, site)
		if err != nil {
			return nil, err
		}
		for _, d := range siteSpecific {
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

// sitesOf returns the sites with an overlay in any of the versions, sorted.
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

// siteDifferences returns the differences at a site; the empty name stands for sites
// without an overlay.
func siteDifferences(before, after *Version, site string) ([]Difference, error) {
	oldValues, err := valuesOf(before, site)
	if err != nil {
		return nil, err
	}
	newValues, err := valuesOf(after, site)
	if err != nil {
		return nil, err
	}
	newText := make(map[string]string)
	for _, v := range newValues {
		newText[v.Path] = v.Text
	}
	oldText := make(map[string]string)
	var out []Difference
	for _, v := range oldValues {
		oldText[v.Path] = v.Text
		if newValue := newText[v.Path]; newValue != v.Text {
			out = append(out, Difference{Site: site, Path: v.Path, Before: v.Text, After: newValue})
		}
	}
	for _, v := range newValues {
		if _, known := oldText[v.Path]; !known {
			out = append(out, Difference{Site: site, Path: v.Path, After: v.Text})
		}
	}
	return out, nil
}

// valuesOf returns the effective values of a version at a site.
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
