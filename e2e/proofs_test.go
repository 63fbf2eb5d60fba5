package e2e

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// docs/PROOFS.md names tests and checks: renaming or removing one would leave a guarantee
// without its proof unnoticed.
func TestProofsExist(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	assert.NilError(t, err)
	functions := testFunctions(t)
	for _, name := range findNames(page, "`((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)`") {
		assert.Check(t, functions[name], "no test file has %s", name)
	}
	checks := specChecks(t)
	for _, name := range findNames(page, "`((?:start|contract|quota|run|crash)/[a-z-]+)`") {
		assert.Check(t, checks[name], "spec/checks.txt has no %s", name)
	}
}

func findNames(page []byte, pattern string) []string {
	var names []string
	for _, found := range regexp.MustCompile(pattern).FindAllSubmatch(page, -1) {
		names = append(names, string(found[1]))
	}
	return names
}

func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	all := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9]+)\(`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range declared.FindAllSubmatch(text, -1) {
			all[string(found[1])] = true
		}
		return err
	})
	assert.NilError(t, err)
	return all
}

func specChecks(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile("../spec/checks.txt")
	assert.NilError(t, err)
	all := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(line, "|")
		all[name] = true
	}
	return all
}
