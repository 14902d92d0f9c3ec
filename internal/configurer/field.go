package configurer

import (
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// required and optional are values of [field.required].
const (
	required = true
	optional = false
)

const (
	maxNameBytes = 63
	hashBytes    = 64
)

// field defines how the value of one key of a mapping is read into a T and formatted.
type field[T any] struct {
	key      string
	kind     string // kind describes the values for operators; empty for a section.
	help     string // help describes the key for operators.
	tunable  bool   // tunable is set if an overlay may set the key.
	required bool   // required is set if the base must set the key.
	read     func(r *reader, n ast.Node, path string, into *T)
	// values emits the effective values at or below the key.
	values func(of *T, path string, emit func(path, text string))
	// keys emits the keys at or below this one.
	keys func(of *T, path string, emit func(Key))
}

// scalar completes a field with a single value, which show formats.
func scalar[T any](f field[T], show func(*T) string) field[T] {
	f.values = func(of *T, path string, emit func(path, text string)) { emit(path, show(of)) }
	f.keys = func(of *T, path string, emit func(Key)) {
		k := Key{Path: path, Kind: f.kind, Help: f.help, Overlay: f.tunable, Required: f.required}
		if of != nil && !f.required {
			k.Default = show(of)
		}
		emit(k)
	}
	return f
}

// capped returns a field that rejects values above a limit of the system.
func capped[T any](f field[T], maximum string, exceeds func(*T) bool) field[T] {
	read := f.read
	f.read = func(r *reader, n ast.Node, path string, into *T) {
		read(r, n, path, into)
		if exceeds(into) {
			r.fault(n, "must be at most %s", maximum)
		}
	}
	return f
}

// section returns a field whose value is a mapping.
func section[T, U any](key string, fields []field[U], get func(*T) *U) field[T] {
	f := field[T]{key: key, tunable: anyTunable(fields)}
	for _, sub := range fields {
		f.required = f.required || sub.required
	}
	f.read = func(r *reader, n ast.Node, path string, into *T) { readMapping(r, n, path, fields, get(into)) }
	f.values = func(of *T, path string, emit func(path, text string)) {
		for _, sub := range fields {
			sub.values(get(of), path+"."+sub.key, emit)
		}
	}
	f.keys = func(of *T, path string, emit func(Key)) {
		for _, sub := range fields {
			var part *U
			if of != nil {
				part = get(of)
			}
			sub.keys(part, path+"."+sub.key, emit)
		}
	}
	return f
}

// namedList returns a field whose value is a list of mappings with unique names. An
// element is initialized with newElement. An overlay may modify elements of the base but
// not add any.
func namedList[T, U any](key string, mandatory bool, fields []field[U], nameOf func(*U) *string, newElement func() U, get func(*T) *[]U) field[T] {
	f := field[T]{key: key, required: mandatory, tunable: anyTunable(fields[1:])}
	f.read = func(r *reader, n ast.Node, path string, into *T) {
		readNamedList(r, n, path, fields, nameOf, newElement, get(into))
	}
	f.values = func(of *T, path string, emit func(path, text string)) {
		list := *get(of)
		for i := range list {
			for _, sub := range fields[1:] { // The name is part of the path.
				sub.values(&list[i], path+"."+*nameOf(&list[i])+"."+sub.key, emit)
			}
		}
	}
	f.keys = func(_ *T, path string, emit func(Key)) {
		element := newElement()
		for _, sub := range fields {
			sub.keys(&element, path+".NAME."+sub.key, func(k Key) {
				k.Overlay = k.Overlay && f.tunable
				emit(k)
			})
		}
	}
	return f
}

// anyTunable reports whether an overlay may set any of the fields.
func anyTunable[T any](fields []field[T]) bool {
	for _, f := range fields {
		if f.tunable {
			return true
		}
	}
	return false
}

// name returns the field that identifies an element of a list. It must be the first
// field of its table. In an overlay it selects the element to modify.
func name[T any](key string, get func(*T) *string) field[T] {
	f := field[T]{key: key, kind: "name", help: "unique in its list; lower case, digits and hyphens", required: required, tunable: tunable}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		text, ok := r.text(n, "a name")
		if !ok {
			return
		}
		if !validName(text) {
			r.fault(n, "a name must be lower-case letters, digits and inner hyphens, at most %d, not %s", maxNameBytes, strconv.Quote(text))
			return
		}
		*get(into) = text
	}
	return scalar(f, func(of *T) string { return *get(of) })
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	return !strings.ContainsFunc(s, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-'
	})
}

// path returns a field of an HTTP path.
func path[T any](key string, tune bool, help string, get func(*T) *string) field[T] {
	f := field[T]{key: key, kind: "path", help: help, tunable: tune, required: required}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		text, ok := r.text(n, "a path")
		if !ok {
			return
		}
		if !validPath(text) {
			r.fault(n, "a path must begin with \"/\" and have no space, query or fragment, not %s", strconv.Quote(text))
			return
		}
		*get(into) = text
	}
	return scalar(f, func(of *T) string { return *get(of) })
}

func validPath(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(c rune) bool {
		return c <= ' ' || c > '~' || c == '?' || c == '#' || c == '%'
	})
}

// duration returns a field of a positive duration.
func duration[T any](key string, tune, mandatory bool, help string, get func(*T) *time.Duration) field[T] {
	f := field[T]{key: key, kind: "duration", help: help, tunable: tune, required: mandatory}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		const want = "a duration such as 250ms or 30s"
		text, ok := r.text(n, want)
		if !ok {
			return
		}
		d, err := time.ParseDuration(text)
		switch {
		case err != nil:
			r.fault(n, "must be %s, not %s", want, strconv.Quote(text))
		case d <= 0:
			r.fault(n, "must be positive, not %s", text)
		default:
			*get(into) = d
		}
	}
	return scalar(f, func(of *T) string { return get(of).String() })
}

// count returns a field of an integer that is at least the given minimum.
func count[T any, N int | int64](key string, tune bool, minimum int64, help string, get func(*T) *N) field[T] {
	f := field[T]{key: key, kind: "integer", help: help, tunable: tune}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		number, ok := r.integer(n)
		if !ok {
			return
		}
		if number < minimum {
			r.fault(n, "must be at least %d, not %d", minimum, number)
			return
		}
		*get(into) = N(number)
	}
	return scalar(f, func(of *T) string { return strconv.FormatInt(int64(*get(of)), 10) })
}

// ratio returns a field of a number from 0 to 1.
func ratio[T any](key string, tune, mandatory bool, help string, get func(*T) *float64) field[T] {
	f := field[T]{key: key, kind: "ratio", help: help, tunable: tune, required: mandatory}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		number, ok := r.number(n)
		if !ok {
			return
		}
		if number < 0 || number > 1 {
			r.fault(n, "must be from 0 to 1, not %s", formatFloat(number))
			return
		}
		*get(into) = number
	}
	return scalar(f, func(of *T) string { return formatFloat(*get(of)) })
}

// number returns a field of a number that is at least the given minimum.
func number[T any](key string, tune bool, minimum float64, help string, get func(*T) *float64) field[T] {
	f := field[T]{key: key, kind: "number", help: help, tunable: tune}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		value, ok := r.number(n)
		if !ok {
			return
		}
		if value < minimum {
			r.fault(n, "must be at least %s, not %s", formatFloat(minimum), formatFloat(value))
			return
		}
		*get(into) = value
	}
	return scalar(f, func(of *T) string { return formatFloat(*get(of)) })
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// choice returns a field of one of the given words.
func choice[T any, S ~string](key string, words []S, help string, get func(*T) *S) field[T] {
	names := make([]string, len(words))
	for i, w := range words {
		names[i] = string(w)
	}
	want := strings.Join(names, " or ")
	f := field[T]{key: key, kind: want, help: help, required: required}
	f.read = func(r *reader, n ast.Node, _ string, into *T) {
		text, ok := r.text(n, want)
		if !ok {
			return
		}
		for _, w := range words {
			if text == string(w) {
				*get(into) = w
				return
			}
		}
		r.fault(n, "must be %s, not %s", want, strconv.Quote(text))
	}
	return scalar(f, func(of *T) string { return string(*get(of)) })
}

// hashes returns a field of a list of token hashes. Faults do not include the value,
// because an operator may have entered a token instead of its hash.
func hashes[T any](key, help string, get func(*T) *[]string) field[T] {
	f := field[T]{key: key, kind: "list of hashes", help: help}
	f.read = func(r *reader, n ast.Node, path string, into *T) {
		list, ok := r.sequence(n)
		if !ok {
			return
		}
		*get(into) = nil
		for _, item := range list {
			if hash, ok := r.hash(item, path); ok {
				*get(into) = append(*get(into), hash)
			}
		}
	}
	return scalar(f, func(of *T) string { return showHashes(*get(of)) })
}

// shownHashBytes is the number of digits of a hash that are shown.
const shownHashBytes = 8

// showHashes formats hashes, each shortened to a prefix that is enough to tell them apart.
func showHashes(list []string) string {
	short := make([]string, len(list))
	for i, hash := range list {
		short[i] = hash[:min(shownHashBytes, len(hash))]
	}
	return "[" + strings.Join(short, " ") + "]"
}
