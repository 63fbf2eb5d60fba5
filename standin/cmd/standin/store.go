package main

import (
	"context"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"almondstand.dev/standin/store"
)

func storeCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Serve the platform's key-value service from memory",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			l, err := listen("store", address)
			if err != nil {
				return err
			}
			s := store.New(time.Now)
			ctx, stop := context.WithCancel(context.Background())
			var g run.Group
			addSignals(&g)
			addServer(&g, l, s)
			g.Add(func() error { return s.Run(ctx) }, func(error) { stop() })
			return wait(&g)
		},
	}
	cmd.Flags().StringVar(&address, "listen", anyLoopbackPort, "IP and port")
	return cmd
}
