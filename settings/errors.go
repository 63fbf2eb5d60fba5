package settings

import (
	"fmt"
	"strings"
)

// Error is one error in a settings file.
type Error struct {
	// Path is the path of the field from the root, such as "listen.callers".
	Path string
	// Found is the value in the file; empty if the field is missing.
	Found string
	// Allowed describes the valid values.
	Allowed string
}

// Error implements error.
func (e Error) Error() string {
	path := e.Path
	if path == "" {
		path = "(root)"
	}
	if e.Found == "" {
		return fmt.Sprintf("%s: missing; allowed: %s", path, e.Allowed)
	}
	return fmt.Sprintf("%s: read %s; allowed: %s", path, e.Found, e.Allowed)
}

// Errors lists the errors found in one settings file.
type Errors []Error

// Error implements error. It lists all errors in one line.
func (e Errors) Error() string {
	parts := make([]string, len(e))
	for i, one := range e {
		parts[i] = one.Error()
	}
	return "settings: " + strings.Join(parts, " | ")
}

// orNil returns the list as an error, nil if it is empty.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
