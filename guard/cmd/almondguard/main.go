// Command almondguard is the guard process beside one runner, and the only
// process that calls that runner.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// SIGHUP requests a reload. One that arrives before the handler is installed
	// must not terminate the process.
	signal.Ignore(syscall.SIGHUP)
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "almondguard:", err)
		os.Exit(1)
	}
}
