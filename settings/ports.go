package settings

import "fmt"

// Listener is a listen address with the path of its settings field.
type Listener struct {
	Path    string
	Address Address
}

// CheckPortConflicts returns an error for each listener that conflicts with an earlier one. Port 0
// lets the kernel choose a port and never conflicts.
func CheckPortConflicts(listeners ...Listener) Errors {
	var out Errors
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			if conflict(earlier.Address, later.Address) {
				out = append(out, Error{
					Path:    later.Path,
					Found:   later.Address.String(),
					Allowed: fmt.Sprintf("a port of its own: %s listens on %s", earlier.Path, earlier.Address),
				})
				break
			}
		}
	}
	return out
}

// conflict reports whether two listen addresses conflict. An unspecified address such as
// 0.0.0.0 conflicts with every address on the same port.
func conflict(a, b Address) bool {
	if a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
