package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/contracts"
)

func retireCommand(o *operatorFlags) *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use:   "retire CUSTOMER",
		Short: "Retire a customer's contract; jobs accepted before are completed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			expect := contracts.Precondition{AnyRevision: true}
			if cmd.Flags().Changed("revision") {
				expect = contracts.Precondition{Revision: revision}
			}
			changed, err := c.Retire(cmd.Context(), args[0], expect)
			if err != nil {
				return withAdvice(args[0], err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: retired at revision %d\n", args[0], changed.Revision)
			return err
		},
	}
	cmd.Flags().Int64Var(&revision, "revision", 0, "retire only if this version is in force")
	return cmd
}
