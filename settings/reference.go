package settings

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// ErrReferenceMismatch means that the reference documentation does not match the settings.
var ErrReferenceMismatch = errors.New("settings: the reference differs")

// referenceRow matches a row of a reference table: field, default, meaning.
var referenceRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| (required|`[^|]*`) \\| .+ \\|$")

// CheckReference checks the reference documentation against the settings: the section
// with the heading "## section" must list each field once, with its default.
func CheckReference(page, section string, defaults any) error {
	_, after, found := strings.Cut(page, "## "+section+"\n")
	if !found {
		return fmt.Errorf("%w: no section %s", ErrReferenceMismatch, section)
	}
	text, _, _ := strings.Cut(after, "\n## ")
	documented := map[string]string{}
	var errs []error
	for _, m := range referenceRow.FindAllStringSubmatch(text, -1) {
		if _, duplicate := documented[m[1]]; duplicate {
			errs = append(errs, fmt.Errorf("%w: %s is listed twice", ErrReferenceMismatch, m[1]))
		}
		documented[m[1]] = strings.Trim(m[2], "`")
	}
	for _, f := range Fields(defaults) {
		if got, ok := documented[f.Path]; !ok || got != "required" && got != f.Value {
			errs = append(errs, fmt.Errorf("%w: %s: read %q, the default is %q", ErrReferenceMismatch, f.Path, got, f.Value))
		}
		delete(documented, f.Path)
	}
	for path := range documented {
		errs = append(errs, fmt.Errorf("%w: %s does not exist", ErrReferenceMismatch, path))
	}
	return errors.Join(errs...)
}
