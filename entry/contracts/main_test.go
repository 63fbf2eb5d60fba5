package contracts_test

import (
	"flag"
	"os"
	"testing"
)

// Runs of the state machine are reproducible and short, unless a flag says otherwise.
var machineFlags = map[string]string{"rapid.seed": "20260101", "rapid.checks": "40"}

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range machineFlags {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
