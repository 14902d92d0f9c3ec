package configurer

import (
	"fmt"
	"strings"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindSyntax  Kind = "syntax"  // The file is not valid YAML.
	KindInvalid Kind = "invalid" // The file is valid YAML but not a valid configuration.
	KindStored  Kind = "stored"  // A stored version cannot be encoded or decoded.
)

// Fault is one error in a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // Line counts from 1.
	Column  int    `json:"column"` // Column counts from 1.
	Message string `json:"message"`
}

// String returns the fault in the format of compiler errors.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Error is the error type of this package.
type Error struct {
	Op     string  // Op is the operation that failed.
	Kind   Kind    // Kind is one of the Kind constants.
	Faults []Fault // Faults are all faults of the files, in the order of files and lines.
	Err    error   // Err is the cause if there are no faults.
}

// Error implements error. It lists each fault on a line of its own.
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
