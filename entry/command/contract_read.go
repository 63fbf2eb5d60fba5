package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/operator"
	"almondstand.dev/entry/operator/client"
)

func getCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "get CUSTOMER",
		Short: "Print a customer's contract in force, in the format that apply reads",
		Args:  cobra.ExactArgs(1),
	}
	out := addOutputFlag(cmd, formatJSON, formatTable)
	cmd.RunE = runQuery(o, out, fetchContract, printContract)
	return cmd
}

func fetchContract(ctx context.Context, c *client.Client, args []string) (contracts.Version, error) {
	v, err := c.Contract(ctx, args[0])
	return v, withAdvice(args[0], err)
}

func printContract(w io.Writer, format string, v contracts.Version) error {
	if format == formatTable {
		return writeTable(w, versionTable([]contracts.Version{v}))
	}
	// The change id identifies a write and is not part of the contract that apply
	// reads.
	v.Contract.ChangeID = ""
	return writeJSON(w, v.Contract)
}

func listCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "list", Short: "List the contracts in force", Args: cobra.NoArgs}
	out := addOutputFlag(cmd, formatTable, formatJSON)
	cmd.RunE = runQuery(o, out, fetchContracts, printContracts)
	return cmd
}

func fetchContracts(ctx context.Context, c *client.Client, _ []string) (operator.ContractList, error) {
	list, err := c.Contracts(ctx)
	return list, withAdvice("", err)
}

func printContracts(w io.Writer, format string, list operator.ContractList) error {
	if format == formatJSON {
		return writeJSON(w, list)
	}
	return writeTable(w, versionTable(list.Contracts))
}

func historyCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "history CUSTOMER",
		Short: "List the stored versions of a customer's contract, the one in force first",
		Args:  cobra.ExactArgs(1),
	}
	out := addOutputFlag(cmd, formatTable, formatJSON)
	cmd.RunE = runQuery(o, out, fetchHistory, printHistory)
	return cmd
}

func fetchHistory(ctx context.Context, c *client.Client, args []string) (operator.History, error) {
	h, err := c.History(ctx, args[0])
	return h, withAdvice(args[0], err)
}

func printHistory(w io.Writer, format string, h operator.History) error {
	if format == formatJSON {
		return writeJSON(w, h)
	}
	return writeTable(w, versionTable(h.Versions))
}
