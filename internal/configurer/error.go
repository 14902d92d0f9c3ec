package configurer

import (
	"fmt"
	"strings"
)

// Kind says what is wrong with a configuration.
type Kind string

// The kinds of errors of this package.
const (
	KindSyntax  Kind = "syntax"  // The file is not YAML.
	KindInvalid Kind = "invalid" // The file is YAML but not a configuration.
	KindStored  Kind = "stored"  // The stored version cannot be read.
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // Line counts from 1.
	Column  int    `json:"column"` // Column counts from 1.
	Message string `json:"message"`
}

// String returns the fault as compilers report theirs.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Error is the error type of this package.
type Error struct {
	Op     string  // Op is the operation that failed.
	Kind   Kind    // Kind is one of the Kind constants.
	Faults []Fault // Faults has everything that is wrong, in the order of files and lines.
	Err    error   // Err is the cause if there are no faults.
}

// Error implements error. Each fault is on a line of its own.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return fmt.Sprintf("configuration: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := []string{"the configuration is not valid:"}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
