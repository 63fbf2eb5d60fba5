// Command standin runs stand-ins for the external systems that the project's
// processes communicate with: the platform's store, a service's runner, and an
// unreliable network. They are for tests, the demo and the bench, and are never
// shipped. Each prints the addresses it listens on, one line "name address" each.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"
)

const (
	anyLoopbackPort   = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
)

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for tests, the demo and the bench",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(storeCommand(), runnerCommand(), relayCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// addSignals adds an actor to the group that stops it on the first SIGINT or SIGTERM.
func addSignals(g *run.Group) {
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
}

// wait runs the group until it stops. A stop because of a signal is not an error.
func wait(g *run.Group) error {
	err := g.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// listen opens a listener on the address and prints the name and the actual address.
func listen(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	fmt.Println(name, l.Addr())
	return l, nil
}

// addServer adds an HTTP server for the handler to the group.
func addServer(g *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { _ = server.Close() })
}
