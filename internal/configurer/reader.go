package configurer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Origin is the place in a file at which a value is set.
type Origin struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`   // Line is 0 for a default.
	Column int    `json:"column,omitempty"` // Column is 0 for a default.
}

// reader reads the values of a base and an overlay from their syntax trees, as the tables
// of schema.go define them, and collects all faults.
type reader struct {
	file    string // file is the name of the current file.
	overlay bool   // overlay is set if the current file is an overlay.
	faults  []Fault
	origins map[string]Origin // origins holds the place of each value, by path.
	hashes  map[string]string // hashes holds the path of the team or operator of each token hash.
}

// fault records a fault at a node.
func (r *reader) fault(n ast.Node, format string, args ...any) {
	line, column := position(n)
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (r *reader) origin(n ast.Node) Origin {
	line, column := position(n)
	return Origin{File: r.file, Line: line, Column: column}
}

// position returns the position at which a node begins. A mapping begins at its first key.
func position(n ast.Node) (line, column int) {
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 && !m.IsFlowStyle {
			return position(m.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return position(m.Key)
	}
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 1, 1
	}
	at := n.GetToken().Position
	return at.Line, at.Column
}

// pairs returns the entries of a mapping.
func (r *reader) pairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	r.fault(n, "must be a mapping of keys to values, not %s", describe(n))
	return nil, false
}

// sequence returns the elements of a list.
func (r *reader) sequence(n ast.Node) ([]ast.Node, bool) {
	if s, ok := n.(*ast.SequenceNode); ok {
		return s.Values, true
	}
	r.fault(n, "must be a list, not %s", describe(n))
	return nil, false
}

// text returns the value of a string node. The fault for any other node says what was
// wanted.
func (r *reader) text(n ast.Node, want string) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		if n.Value != nil {
			return n.Value.Value, true
		}
	}
	r.fault(n, "must be %s, not %s", want, describe(n))
	return "", false
}

// integer returns the value of an integer node.
func (r *reader) integer(n ast.Node) (int64, bool) {
	if i, ok := n.(*ast.IntegerNode); ok {
		switch v := i.Value.(type) {
		case int64:
			return v, true
		case uint64:
			if v <= math.MaxInt64 {
				return int64(v), true
			}
		}
		r.fault(n, "the number is too large")
		return 0, false
	}
	r.fault(n, "must be an integer, not %s", describe(n))
	return 0, false
}

// number returns the value of an integer or floating-point node.
func (r *reader) number(n ast.Node) (float64, bool) {
	switch n := n.(type) {
	case *ast.FloatNode:
		if math.IsInf(n.Value, 0) || math.IsNaN(n.Value) {
			r.fault(n, "the number is too large")
			return 0, false
		}
		return n.Value, true
	case *ast.IntegerNode:
		i, ok := r.integer(n)
		return float64(i), ok
	}
	r.fault(n, "must be a number, not %s", describe(n))
	return 0, false
}

// hash returns the value of a node that is a token hash. A hash that is in use already is
// a fault, since two teams or operators with the same token could not be told apart.
func (r *reader) hash(n ast.Node, path string) (string, bool) {
	text, ok := n.(*ast.StringNode)
	if !ok || len(text.Value) != hashBytes || !isHexadecimal(text.Value) {
		r.fault(n, "must be a SHA-256 hash of %d hexadecimal digits (in quotes if it has no letter); the value is not shown, since it may be a token", hashBytes)
		return "", false
	}
	hash := strings.ToLower(text.Value)
	if other, used := r.hashes[hash]; used {
		r.fault(n, "the token belongs to %s already", other)
		return "", false
	}
	r.hashes[hash] = strings.TrimSuffix(path, ".token-hashes")
	return hash, true
}

func isHexadecimal(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F')
	})
}

// readMapping reads a mapping whose keys are defined by a table of fields.
func readMapping[T any](r *reader, n ast.Node, path string, fields []field[T], into *T) {
	pairs, ok := r.pairs(n)
	if !ok {
		return
	}
	seen := make(map[string]bool)
	for _, pair := range pairs {
		key, ok := r.key(pair, seen)
		if !ok {
			continue
		}
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.key == key })
		if i < 0 {
			r.fault(pair.Key, "unknown key %s%s", strconv.Quote(key), suggestion(key, keysOf(fields)))
			continue
		}
		readField(r, pair, joinPath(path, key), &fields[i], into)
	}
	if r.overlay {
		return
	}
	for _, f := range fields {
		if f.required && !seen[f.key] {
			r.fault(n, "the key %s is missing", strconv.Quote(f.key))
		}
	}
}

// readField reads the value of one key.
func readField[T any](r *reader, pair *ast.MappingValueNode, path string, f *field[T], into *T) {
	if r.overlay && !f.tunable {
		r.fault(pair.Key, "an overlay may not set %s, which must be the same at every site; set it in the base", path)
		return
	}
	r.origins[path] = r.origin(pair.Key)
	f.read(r, pair.Value, path, into)
}

// key returns the key of a pair and marks it as seen. A key that was seen before is a
// fault.
func (r *reader) key(pair *ast.MappingValueNode, seen map[string]bool) (string, bool) {
	text, ok := pair.Key.(*ast.StringNode)
	if !ok {
		r.fault(pair.Key, "a key must be plain text, not %s", describe(pair.Key))
		return "", false
	}
	if seen[text.Value] {
		r.fault(pair.Key, "the key %s is set twice", strconv.Quote(text.Value))
		return "", false
	}
	seen[text.Value] = true
	return text.Value, true
}

func keysOf[T any](fields []field[T]) []string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// readNamedList reads a list of mappings with unique names.
func readNamedList[T any](r *reader, n ast.Node, path string, fields []field[T], nameOf func(*T) *string, newElement func() T, list *[]T) {
	items, ok := r.sequence(n)
	if !ok {
		return
	}
	seen := make(map[string]bool)
	for _, item := range items {
		name := r.peekName(item)
		if name != "" && seen[name] {
			r.fault(item, "%s has %s twice", path, strconv.Quote(name))
			continue
		}
		seen[name] = true
		if r.overlay {
			tuneElement(r, item, path, name, fields, nameOf, *list)
			continue
		}
		element := newElement()
		readMapping(r, item, joinPath(path, name), fields, &element)
		*list = append(*list, element)
	}
	slices.SortFunc(*list, func(a, b T) int { return cmp.Compare(*nameOf(&a), *nameOf(&b)) })
}

// tuneElement applies an element of an overlay to the element of the base with the same
// name.
func tuneElement[T any](r *reader, item ast.Node, path, name string, fields []field[T], nameOf func(*T) *string, list []T) {
	if name == "" {
		r.fault(item, "the key \"name\" is missing")
		return
	}
	i := slices.IndexFunc(list, func(e T) bool { return *nameOf(&e) == name })
	if i < 0 {
		names := make([]string, len(list))
		for j := range list {
			names[j] = *nameOf(&list[j])
		}
		r.fault(item, "the base has no %s in %s, and an overlay may not add one%s", strconv.Quote(name), path, suggestion(name, names))
		return
	}
	readMapping(r, item, joinPath(path, name), fields, &list[i])
}

// peekName returns the name of an element, or "" if it has no valid name.
func (r *reader) peekName(item ast.Node) string {
	var pairs []*ast.MappingValueNode
	switch n := item.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	}
	for _, pair := range pairs {
		key, isKey := pair.Key.(*ast.StringNode)
		value, isText := pair.Value.(*ast.StringNode)
		if isKey && isText && key.Value == "name" && validName(value.Value) {
			return value.Value
		}
	}
	return ""
}

// describe returns a description of the kind of a node, for faults.
func describe(n ast.Node) string {
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case *ast.StringNode:
		return "text"
	case *ast.IntegerNode:
		return "the integer " + n.GetToken().Value
	case *ast.FloatNode:
		return "the number " + n.GetToken().Value
	case *ast.InfinityNode, *ast.NanNode:
		return "a number that is not finite"
	case *ast.BoolNode:
		return "a boolean"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor, alias or merge key, which are not supported"
	case *ast.TagNode:
		return "a tag, which is not supported"
	case *ast.LiteralNode:
		return "a block of text"
	}
	return "this"
}
