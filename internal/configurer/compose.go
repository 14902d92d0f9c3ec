package configurer

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// Limits on the size of a file. They bound the time of the parser, which is quadratic in
// the number of keys of one mapping.
const (
	MaxFileBytes = 256 << 10
	MaxFileLines = 10_000
)

// siteKey is the key of an overlay that holds the name of its site.
const siteKey = "site"

// File is a configuration file.
type File struct {
	Name string // Name identifies the file in errors and origins.
	Text []byte
}

// Value is one effective value.
type Value struct {
	Path string `json:"path"`
	Text string `json:"value"`
	// Origin is the place in a file that set the value. Its File is "default" if no file
	// did.
	Origin Origin `json:"origin"`
}

// Effective is the configuration of one site with the origin of each value.
type Effective struct {
	Config
	Site    string            // Site is the site of the overlay, or empty.
	origins map[string]Origin // origins holds the origins of the values that files set, by path.
}

// Values returns all effective values in the order of the tables.
func (e *Effective) Values() []Value {
	var out []Value
	emit := func(path, text string) {
		origin, ok := e.origins[path]
		if !ok {
			origin = Origin{File: "default"}
		}
		out = append(out, Value{Path: path, Text: text, Origin: origin})
	}
	for _, f := range configFields {
		f.values(&e.Config, f.key, emit)
	}
	return out
}

// overlayFile is the target of reading an overlay: its site, and the configuration that
// it modifies.
type overlayFile struct {
	Config
	site string
}

// Compose applies an overlay, which may be nil, to a base. The error is of type *Error
// and contains all faults of both files.
func Compose(base File, overlay *File) (*Effective, error) {
	e := &Effective{Config: Default(), origins: make(map[string]Origin)}
	r := &reader{file: base.Name, origins: e.origins, hashes: make(map[string]string)}
	if root, ok := r.parse(base); ok {
		readMapping(r, root, "", configFields, &e.Config)
	}
	if overlay != nil {
		r.file, r.overlay = overlay.Name, true
		r.applyOverlay(*overlay, e)
	}
	r.checkRelations(&e.Config)
	return e, r.err()
}

// checkRelations checks constraints between values.
func (r *reader) checkRelations(c *Config) {
	if c.Ejection.ProbeAfter <= c.Ejection.MaxProbeAfter {
		return
	}
	at := r.origins["ejection.max-probe-after"]
	if at.File != r.file {
		at = r.origins["ejection.probe-after"]
	}
	r.faults = append(r.faults, Fault{
		File:    at.File,
		Line:    at.Line,
		Column:  at.Column,
		Message: "ejection.max-probe-after must not be below ejection.probe-after",
	})
}

// CheckAll checks a base with each overlay and returns the overlays' sites. The error
// contains all faults of all files; faults of the base are listed once.
func CheckAll(base File, overlays []File) (sites []string, err error) {
	var faults []Fault
	if _, err := Compose(base, nil); err != nil {
		faults = append(faults, faultsOf(err)...)
	}
	files := make(map[string]string)
	for _, o := range overlays {
		e, err := Compose(base, &o)
		for _, f := range faultsOf(err) {
			if !slices.Contains(faults, f) {
				faults = append(faults, f)
			}
		}
		sites = append(sites, e.Site)
		if other, duplicate := files[e.Site]; duplicate && e.Site != "" {
			faults = append(faults, Fault{File: o.Name, Line: 1, Column: 1, Message: "the site " + strconv.Quote(e.Site) + " has the overlay " + other + " already"})
		}
		files[e.Site] = o.Name
	}
	if len(faults) > 0 {
		return nil, &Error{Op: "check", Kind: KindInvalid, Faults: faults}
	}
	return sites, nil
}

// faultsOf returns the faults of an error of this package, or nil for any other.
func faultsOf(err error) []Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Faults
	}
	return nil
}

// applyOverlay reads an overlay and applies it to the configuration of the base.
func (r *reader) applyOverlay(o File, e *Effective) {
	root, ok := r.parse(o)
	if !ok {
		return
	}
	// The site is the only key that is valid in overlays but not in the base.
	fields := []field[overlayFile]{name(siteKey, func(f *overlayFile) *string { return &f.site })}
	for _, f := range configFields {
		fields = append(fields, overlayField(f))
	}
	tuned := overlayFile{Config: e.Config}
	readMapping(r, root, "", fields, &tuned)
	e.Config, e.Site = tuned.Config, tuned.site
	if _, ok := e.origins[siteKey]; !ok {
		r.fault(root, "the key %s is missing", strconv.Quote(siteKey))
	}
}

// overlayField converts a field of a configuration to a field of an overlay.
func overlayField(f field[Config]) field[overlayFile] {
	return field[overlayFile]{key: f.key, tunable: f.tunable, read: func(r *reader, n ast.Node, path string, into *overlayFile) {
		f.read(r, n, path, &into.Config)
	}}
}

// parse returns the root of a file's syntax tree.
func (r *reader) parse(f File) (ast.Node, bool) {
	if len(f.Text) > MaxFileBytes {
		r.fault(nil, "the file is larger than %d bytes", MaxFileBytes)
		return nil, false
	}
	if bytes.Count(f.Text, []byte{'\n'}) > MaxFileLines {
		r.faults = append(r.faults, Fault{File: r.file, Line: MaxFileLines + 1, Column: 1, Message: "the file has too many lines"})
		return nil, false
	}
	if line, column, deep := findDeepNesting(f.Text); deep {
		r.faults = append(r.faults, Fault{File: r.file, Line: line, Column: column, Message: "the nesting is too deep"})
		return nil, false
	}
	tree, err := parser.ParseBytes(f.Text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntaxFault(err)
		return nil, false
	}
	if len(tree.Docs) > 1 {
		r.fault(tree.Docs[1].Body, "the file must hold one document, not %d", len(tree.Docs))
		return nil, false
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		r.fault(nil, "the file is empty")
		return nil, false
	}
	return tree.Docs[0].Body, true
}

// syntaxFault records an error of the parser, with its position if it is known.
func (r *reader) syntaxFault(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil && syntax.Token.Position != nil {
		at := syntax.Token.Position
		r.faults = append(r.faults, Fault{File: r.file, Line: at.Line, Column: at.Column, Message: syntax.Message})
		return
	}
	first, _, _ := bytes.Cut([]byte(err.Error()), []byte("\n"))
	r.fault(nil, "%s", first)
}

// err returns all recorded faults as one error, or nil if there are none.
func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sortFaults(r.faults)
	return &Error{Op: "compose", Kind: KindInvalid, Faults: r.faults}
}

// sortFaults sorts the faults of each file by line and column. The faults of one file
// must be adjacent; the order of the files is kept.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		if a.File != b.File {
			return 0
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// Limits on nesting. The parser's stack grows with the depth; a configuration needs four
// levels.
const (
	maxFlowDepth   = 32
	maxIndentBytes = 64
)

// findDeepNesting returns the position at which a text exceeds the limits on nesting. It
// counts brackets, leading spaces and leading markers, even within quotes.
func findDeepNesting(text []byte) (line, column int, tooDeep bool) {
	line, column = 1, 0
	depth, indent, leading := 0, 0, true
	for _, c := range text {
		column++
		switch c {
		case '\n':
			line, column, indent, leading = line+1, 0, 0, true
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case ' ', '-', '?', ':', '\t':
			if leading {
				indent++
			}
		default:
			leading = false
		}
		if depth > maxFlowDepth || indent > maxIndentBytes {
			return line, column, true
		}
	}
	return 0, 0, false
}
