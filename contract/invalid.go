package contract

import (
	"fmt"
	"strings"
)

// Problem describes one invalid field.
type Problem struct {
	// Path is the path of the field, such as "services[2]"; empty for the text as a whole.
	Path string `json:"path"`
	// Found is the value found, truncated.
	Found string `json:"read"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// InvalidError is the error for an invalid contract. It lists every problem found.
type InvalidError struct {
	Problems []Problem `json:"problems"`
}

// Error implements error. It lists all problems in one line.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		path := p.Path
		if path == "" {
			path = "contract"
		}
		parts = append(parts, fmt.Sprintf("%s: read %s, allowed: %s", path, p.Found, p.Allowed))
	}
	return "invalid contract: " + strings.Join(parts, "; ")
}

// problems collects problems, at most one for each path.
type problems struct {
	list []Problem
	seen map[string]bool
}

func (p *problems) add(path, read, allowed string) {
	if p.seen[path] {
		return
	}
	if p.seen == nil {
		p.seen = map[string]bool{}
	}
	p.seen[path] = true
	p.list = append(p.list, Problem{Path: path, Found: truncate(read), Allowed: allowed})
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.list}
}

// maxQuotedBytes is the maximum length of a quoted input value in an error, in bytes.
const maxQuotedBytes = 80

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
