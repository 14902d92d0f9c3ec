package seeder

import (
	"bytes"
	"io/fs"
	"os"
	"path"
	"testing"
)

// TestEveryRandomTestIsSeeded checks that every package whose tests use rapid fixes its
// seed.
func TestEveryRandomTestIsSeeded(t *testing.T) {
	random, seeded := make(map[string]bool), make(map[string]bool)
	tree := os.DirFS("../..")
	err := fs.WalkDir(tree, ".", func(name string, _ fs.DirEntry, err error) error {
		if ok, _ := path.Match("*_test.go", path.Base(name)); err != nil || !ok {
			return err
		}
		text, err := fs.ReadFile(tree, name)
		dir := path.Dir(name)
		random[dir] = random[dir] || bytes.Contains(text, []byte("\n\t\"pgregory.net/rapid\"\n"))
		seeded[dir] = seeded[dir] || bytes.Contains(text, []byte("\nfunc TestMain(m *testing.M) { seeder.Main(m) }\n"))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for dir, uses := range random {
		if !uses {
			continue
		}
		found++
		if !seeded[dir] {
			t.Errorf("%s: the tests use rapid and TestMain does not call seeder.Main", dir)
		}
	}
	if found == 0 {
		t.Error("no package with random tests was found")
	}
}
