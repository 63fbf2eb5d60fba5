// Command almondbench runs experiments on the real programs, with simulated runners and
// a simulated store, and writes the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "almondbench",
		Short:         "Run experiments on the real programs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(buildCommand(), runCommand(), compareCommand(), summaryCommand(), overheadCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "almondbench:", err)
		os.Exit(1)
	}
}
