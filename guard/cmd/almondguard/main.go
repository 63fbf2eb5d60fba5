// Command almondguard is the process beside one runner: the only caller of it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// A hangup asks for a reload; one that comes before the process listens for
	// it must not end it.
	signal.Ignore(syscall.SIGHUP)
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "almondguard:", err)
		os.Exit(1)
	}
}
