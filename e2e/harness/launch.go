package harness

// Launch starts a program outside a Cluster. The caller must end the process.
func Launch(name, path string, args ...string) (*Process, error) {
	return start(name, nil, path, args...)
}
