package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/contract"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/operator"
	"almondstand.dev/entry/operator/client"
	"almondstand.dev/telemetry/uptime"
)

const (
	// defaultWait is how long --wait waits.
	defaultWait = 10 * time.Second
	// waitPause is the pause between two questions to the entries.
	waitPause = 200 * time.Millisecond
	// waitRound bounds one round of questions, and waitRounds says how many there
	// are at least: an entry that is frozen answers nothing, and those asked with
	// it would be reported by what they said at first.
	waitRound  = time.Second
	waitRounds = 4
	stdinName  = "-"
)

// applyFlags are the flags of contract apply.
type applyFlags struct {
	revision int64
	force    bool
	wait     time.Duration
}

func applyCommand(o *operators) *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE|DIRECTORY|- ...",
		Short: "Put declared contracts in force",
		Long: "Put declared contracts in force: one contract a file, every *.json of a directory, - for stdin.\n" +
			"Each replaces the version in force when the command reads it; another operator's change in\n" +
			"between is a conflict (exit status 5). All files are checked before the first is applied.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			declared, err := readDeclared(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			if len(declared) > 1 && cmd.Flags().Changed("revision") {
				return errors.New("--revision goes with one contract only")
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			return applyAll(cmd, c, declared, flags)
		},
	}
	f := cmd.Flags()
	f.Int64Var(&flags.revision, "revision", -1, "replace this version only; 0: there must be none yet")
	f.BoolVar(&flags.force, "force", false, "replace whatever is in force")
	f.DurationVar(&flags.wait, "wait", 0, "tell on how many live entries it is in force, for at most this long")
	f.Lookup("wait").NoOptDefVal = defaultWait.String()
	cmd.MarkFlagsMutuallyExclusive("revision", "force")
	return cmd
}

// readDeclared reads and checks every contract named by the arguments.
func readDeclared(stdin io.Reader, args []string) ([]contract.Contract, error) {
	paths, err := expand(args)
	if err != nil {
		return nil, err
	}
	declared := make([]contract.Contract, 0, len(paths))
	seen := map[string]string{}
	for _, path := range paths {
		c, err := readContract(stdin, path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if first, twice := seen[c.Customer]; twice {
			return nil, fmt.Errorf("%s and %s both declare customer %s: keep one", first, path, c.Customer)
		}
		seen[c.Customer] = path
		declared = append(declared, c)
	}
	return declared, nil
}

func expand(args []string) ([]string, error) {
	var paths []string
	for _, arg := range args {
		info, err := os.Stat(arg)
		if arg == stdinName || err != nil || !info.IsDir() {
			paths = append(paths, arg)
			continue
		}
		found, err := filepath.Glob(filepath.Join(arg, "*.json"))
		if err != nil || len(found) == 0 {
			return nil, fmt.Errorf("%s: no *.json in this directory", arg)
		}
		slices.Sort(found)
		paths = append(paths, found...)
	}
	return paths, nil
}

func readContract(stdin io.Reader, path string) (contract.Contract, error) {
	var raw []byte
	var err error
	if path == stdinName {
		raw, err = io.ReadAll(stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return contract.Contract{}, err
	}
	return contract.Decode(raw)
}

func applyAll(cmd *cobra.Command, c *client.Client, declared []contract.Contract, flags applyFlags) error {
	revisions := map[string]int64{}
	for _, k := range declared {
		expect, err := expectation(cmd.Context(), c, k.Customer, flags)
		if err != nil {
			return advise(k.Customer, err)
		}
		changed, err := c.Apply(cmd.Context(), k, expect)
		if err != nil {
			return advise(k.Customer, fmt.Errorf("%s: %w", k.Customer, err))
		}
		revisions[k.Customer] = changed.Revision
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), changeLine(changed)); err != nil {
			return err
		}
	}
	if flags.wait <= 0 {
		return nil
	}
	return waitInForce(cmd, c, revisions, flags.wait)
}

// expectation names the version to be replaced.
func expectation(ctx context.Context, c *client.Client, customer string, flags applyFlags) (contracts.Expect, error) {
	switch {
	case flags.force:
		return contracts.Expect{AnyRevision: true}, nil
	case flags.revision >= 0:
		return contracts.Expect{Revision: flags.revision}, nil
	}
	v, err := c.Contract(ctx, customer)
	if client.IsCode(err, operator.CodeNotFound) {
		return contracts.Expect{}, nil
	}
	return contracts.Expect{Revision: v.Revision}, err
}

func changeLine(c operator.Changed) string {
	switch {
	case c.Unchanged:
		return fmt.Sprintf("%s: unchanged at revision %d", c.Customer, c.Revision)
	case c.Superseded:
		return fmt.Sprintf("%s: accepted at revision %d, replaced by another change since", c.Customer, c.Revision)
	}
	return fmt.Sprintf("%s: accepted at revision %d", c.Customer, c.Revision)
}

// waitInForce asks every live entry until all have the revisions in force.
func waitInForce(cmd *cobra.Command, c *client.Client, revisions map[string]int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), limit)
	defer cancel()
	began := time.Now()
	live, lagging := 0, []string(nil)
	each := min(waitRound, limit/waitRounds)
	for {
		l, missing, err := round(ctx, c, revisions, each)
		if err == nil {
			live, lagging = l, missing
		}
		if err == nil && len(lagging) == 0 {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "in force on %d of %d live entries after %s\n",
				live, live, time.Since(began).Round(time.Millisecond))
			return err
		}
		// A round cut short by the end would report entries that it hardly asked.
		if !uptime.Sleep(ctx, waitPause) || time.Since(began)+each > limit {
			break
		}
	}
	return &statusError{exitNotEverywhere, fmt.Errorf(
		"accepted, and in force on %d of %d live entries after %s; not seen on: %s. It goes on spreading; look again with `almondstand contract get`",
		live-len(lagging), live, limit, strings.Join(lagging, ", "))}
}

// round asks once, for at most the limit.
func round(ctx context.Context, c *client.Client, revisions map[string]int64, limit time.Duration) (live int, lagging []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return lag(ctx, c, revisions)
}

// lag counts the live entries and names those that lack a revision or gave no
// answer.
func lag(ctx context.Context, c *client.Client, revisions map[string]int64) (live int, lagging []string, err error) {
	answers, err := client.Everywhere(ctx, c, func(ctx context.Context, c *client.Client) (bool, error) {
		return inForce(ctx, c, revisions)
	})
	if err != nil {
		return 0, nil, err
	}
	for _, a := range answers {
		if a.Err != nil || !a.Value {
			lagging = append(lagging, a.Entry.ID)
		}
	}
	return len(answers), lagging, nil
}

func inForce(ctx context.Context, c *client.Client, revisions map[string]int64) (bool, error) {
	for customer, revision := range revisions {
		v, err := c.Contract(ctx, customer)
		if client.IsCode(err, operator.CodeNotFound) {
			return false, nil
		}
		if err != nil || v.Revision < revision {
			return false, err
		}
	}
	return true, nil
}
