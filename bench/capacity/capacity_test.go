package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const text = `{"id":"0a1b2c3d","cmd":"sweep","site":"some-site",
"days":[{"name":"sweep-30","served":0.98,"rules":{}},{"name":"sweep-300","served":0.97,"rules":{"TWICE":[1]}}],
"digest":"seen: 4900 jobs\nmiddle / busiest or longest, by own machines\n                       30      300  power  at 3255\nentry: processor %     6.4 / 8.0      8.3 / 16.0    0.3  83.5\nguard: connections     26.0 / 40.0     27.0 / 36.0   -0.1  36.0\nconfig acked, ms       51.0 / 52.0     51.0 / 52.0    0.0  52.0\npower: the busiest grows"}`

func journal(t *testing.T) string {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "20260101T000000-0a1b2c3d.json"), []byte(text), 0o600))
	return dir
}

// TestTableIsOfTheRun guards against wrong figures on the page by which operators size
// hosts. Each figure must come from a run: that of the busiest host, not the median
// one, extrapolated by the exponent of that run. A quantity that fell as hosts were
// added must not be extrapolated to fall further.
func TestTableIsOfTheRun(t *testing.T) {
	page, err := Update("before\n<!-- sweep 0a1b2c3d entry -->\nold\n<!-- end of table -->\n<!-- sweep 0a1b2c3d guard -->\n<!-- end of table -->\n"+
		"<!-- sweep 0a1b2c3d served -->\n<!-- end of table -->\nafter", journal(t))
	assert.NilError(t, err)
	for _, want := range []string{
		"| processor % | 8 | 16 | 0.30 | 32.9 |",
		"| connections | 40 | 36 | -0.10 | 36 |",
		"| 300 | 0.970 | 0.990 | 1 |",
	} {
		assert.Assert(t, strings.Contains(page, want), "%s lacks %s", page, want)
	}
	assert.Assert(t, strings.HasPrefix(page, "before\n") && strings.HasSuffix(page, "\nafter") && !strings.Contains(page, "old"))
}

// TestMissingRunIsAnError guards against silently leaving an outdated table on the page
// when the run doesn't exist or isn't a sweep.
func TestMissingRunIsAnError(t *testing.T) {
	dir := journal(t)
	for _, marker := range []string{"ffffffff entry", "0a1b2c3d nobody"} {
		_, err := Update("<!-- sweep "+marker+" -->\n<!-- end of table -->", dir)
		assert.Assert(t, err != nil, marker)
	}
}

// TestPageIsOfTheJournal checks that the tables on the page are those generated from
// the journal.
func TestPageIsOfTheJournal(t *testing.T) {
	raw, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	want, err := Update(string(raw), "../../journal")
	assert.NilError(t, err)
	assert.Equal(t, string(raw), want, "run make capacity")
}
