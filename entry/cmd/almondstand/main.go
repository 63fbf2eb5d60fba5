// Command almondstand dispatches sub-second tasks under contracts. It runs an
// entry, and it is the command-line client for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondstand.dev/entry/command"
)

func main() {
	// SIGHUP requests a reload. It must not terminate the process when it arrives
	// before the handler is installed.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(command.Execute(context.Background(), entry(), os.Args[1:], os.Stdout, os.Stderr))
}
