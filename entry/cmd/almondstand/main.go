// Command almondstand dispatches sub-second tasks under contracts: it runs an
// entry, and it is the command line of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondstand.dev/entry/command"
)

func main() {
	// A hangup asks for a reload; one that comes before the process listens for
	// it must not end it.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(command.Execute(context.Background(), entry(), os.Args[1:], os.Stdout, os.Stderr))
}
