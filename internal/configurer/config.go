// Package configurer reads the operators' configuration.
//
// The configuration is one base file that all sites share and a small overlay
// for each site, both YAML in kebab case. The base says what services and teams
// there are and what they mean; an overlay tunes limits at its site. Accepted
// versions are rows of the platform's table ([Version]); a [Config] is the
// effective configuration of one site.
package configurer

import (
	"bytes"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// Config is the effective configuration of one site.
type Config struct {
	// Services are sorted by name; names are unique.
	Services []Service `yaml:"services"`
	// Teams are sorted by name; names are unique.
	Teams []Team `yaml:"teams"`
}

// Service is a kind of work that upstreams run.
type Service struct {
	Name string `yaml:"name"`
	// Path is the HTTP path of the service at its upstreams.
	Path string `yaml:"path"`
	// Timeout is the deadline of jobs that bring none.
	Timeout time.Duration `yaml:"timeout"`
	// DefaultRunTime and DefaultMemoryBytes are taken for tasks that declare none.
	DefaultRunTime     time.Duration `yaml:"default-run-time"`
	DefaultMemoryBytes int64         `yaml:"default-memory-bytes"`
	Objective          Objective     `yaml:"objective"`
}

// Objective is what a service promises its callers.
type Objective struct {
	// Latency is the response time that counts as good.
	Latency time.Duration `yaml:"latency"`
	// LatencyRatio is the share of jobs that must be as fast, from 0 to 1.
	LatencyRatio float64 `yaml:"latency-ratio"`
	// SuccessRatio is the share of jobs that must be complete, from 0 to 1.
	SuccessRatio float64 `yaml:"success-ratio"`
}

// Team is a group of callers.
type Team struct {
	Name string `yaml:"name"`
	// Slots bounds the team's running tasks over all entries; 0 means no bound.
	Slots int `yaml:"slots"`
	// StartsPerSecond bounds the team's task starts over all entries; 0 means no bound.
	StartsPerSecond float64 `yaml:"starts-per-second"`
	// TokenHashes are the SHA-256 hashes, in hexadecimal, of valid bearer tokens.
	TokenHashes []string `yaml:"token-hashes"`
}

// Service returns the service of the given name.
func (c *Config) Service(name string) (*Service, bool) {
	i, ok := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int {
		return compareNames(s.Name, n)
	})
	if !ok {
		return nil, false
	}
	return &c.Services[i], true
}

// Team returns the team of the given name.
func (c *Config) Team(name string) (*Team, bool) {
	i, ok := slices.BinarySearchFunc(c.Teams, name, func(t Team, n string) int {
		return compareNames(t.Name, n)
	})
	if !ok {
		return nil, false
	}
	return &c.Teams[i], true
}

// Parse reads a base file and returns the effective configuration. The name
// stands for the file in errors.
func Parse(name string, base []byte) (*Config, error) {
	c := new(Config)
	dec := yaml.NewDecoder(bytes.NewReader(base), yaml.Strict())
	if err := dec.Decode(c); err != nil {
		return nil, &Error{Op: "parse", Kind: KindSyntax, File: name, Err: err}
	}
	slices.SortFunc(c.Services, func(a, b Service) int { return compareNames(a.Name, b.Name) })
	slices.SortFunc(c.Teams, func(a, b Team) int { return compareNames(a.Name, b.Name) })
	return c, nil
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
