package command

import (
	"github.com/spf13/cobra"
)

func reportCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Report on all live entries"}
	o := &operatorFlags{}
	o.addFlags(cmd)
	cmd.AddCommand(burnCommand(o), controlCommand(o))
	return cmd
}
