package main

import (
	"context"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"almondstand.dev/standin/relay"
)

func relayCommand() *cobra.Command {
	var address, switches, target string
	var delay time.Duration
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Relay TCP connections; their bytes can be delayed, stalled or silently dropped",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r := relay.New(target)
			if err := r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass, Delay: delay}); err != nil {
				return err
			}
			relayListener, err := listen("relay", address)
			if err != nil {
				return err
			}
			switchListener, err := listen("switches", switches)
			if err != nil {
				return err
			}
			ctx, stop := context.WithCancel(context.Background())
			var g run.Group
			addSignals(&g)
			addServer(&g, switchListener, r.Handler())
			g.Add(func() error { return r.Serve(ctx, relayListener) }, func(error) { stop() })
			return wait(&g)
		},
	}
	cmd.Flags().StringVar(&address, "listen", anyLoopbackPort, "IP and port for the connections")
	cmd.Flags().StringVar(&switches, "switches", anyLoopbackPort, "IP and port for the switches")
	cmd.Flags().StringVar(&target, "target", "", "IP and port to relay to")
	cmd.Flags().DurationVar(&delay, "delay", 0, "delay added in each direction")
	_ = cmd.MarkFlagRequired("target")
	return cmd
}
