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
	// defaultWaitTimeout is the timeout of --wait without a value.
	defaultWaitTimeout = 10 * time.Second
	// waitInterval is the pause between two rounds of queries to the entries.
	waitInterval = 200 * time.Millisecond
	// roundTimeout limits one round of queries, and minRounds is the minimum
	// number of rounds. Without them, an unresponsive entry would take the whole
	// wait for the first round, and the other entries would be reported by their
	// first answer.
	roundTimeout = time.Second
	minRounds    = 4
	stdinName    = "-"
)

// applyFlags are the flags of contract apply.
type applyFlags struct {
	revision int64
	force    bool
	wait     time.Duration
}

func applyCommand(o *operatorFlags) *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE|DIRECTORY|- ...",
		Short: "Put contracts from files in force",
		Long: "Put contracts from files in force: one contract per file, every *.json of a directory, - for stdin.\n" +
			"Each replaces the version in force when the command reads it; a change by another operator in\n" +
			"between is a conflict (exit status 5). All files are checked before the first is applied.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			declared, err := readDeclared(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			if len(declared) > 1 && cmd.Flags().Changed("revision") {
				return errors.New("--revision can be used with one contract only")
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			return applyAll(cmd, c, declared, flags)
		},
	}
	f := cmd.Flags()
	f.Int64Var(&flags.revision, "revision", -1, "replace only this version; 0: only if there is no contract yet")
	f.BoolVar(&flags.force, "force", false, "replace any version in force")
	f.DurationVar(&flags.wait, "wait", 0, "wait until it is in force on every live entry, for at most this long")
	f.Lookup("wait").NoOptDefVal = defaultWaitTimeout.String()
	cmd.MarkFlagsMutuallyExclusive("revision", "force")
	return cmd
}

// readDeclared reads and validates the contracts in the files, directories or
// stdin named by the arguments.
func readDeclared(stdin io.Reader, args []string) ([]contract.Contract, error) {
	paths, err := expandPaths(args)
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
		if otherPath, duplicate := seen[c.Client]; duplicate {
			return nil, fmt.Errorf("%s and %s both declare customer %s: keep one", otherPath, path, c.Client)
		}
		seen[c.Client] = path
		declared = append(declared, c)
	}
	return declared, nil
}

func expandPaths(args []string) ([]string, error) {
	var paths []string
	for _, arg := range args {
		info, err := os.Stat(arg)
		if arg == stdinName || err != nil || !info.IsDir() {
			paths = append(paths, arg)
			continue
		}
		matches, err := filepath.Glob(filepath.Join(arg, "*.json"))
		if err != nil || len(matches) == 0 {
			return nil, fmt.Errorf("%s: no *.json in this directory", arg)
		}
		slices.Sort(matches)
		paths = append(paths, matches...)
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
		expect, err := expectedVersion(cmd.Context(), c, k.Client, flags)
		if err != nil {
			return withAdvice(k.Client, err)
		}
		changed, err := c.Apply(cmd.Context(), k, expect)
		if err != nil {
			return withAdvice(k.Client, fmt.Errorf("%s: %w", k.Client, err))
		}
		revisions[k.Client] = changed.Revision
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), changeLine(changed)); err != nil {
			return err
		}
	}
	if flags.wait <= 0 {
		return nil
	}
	return waitInForce(cmd, c, revisions, flags.wait)
}

// expectedVersion returns the version that the change must replace.
func expectedVersion(ctx context.Context, c *client.Client, clientID string, flags applyFlags) (contracts.Precondition, error) {
	switch {
	case flags.force:
		return contracts.Precondition{AnyRevision: true}, nil
	case flags.revision >= 0:
		return contracts.Precondition{Revision: flags.revision}, nil
	}
	v, err := c.Contract(ctx, clientID)
	if client.IsCode(err, operator.CodeNotFound) {
		return contracts.Precondition{}, nil
	}
	return contracts.Precondition{Revision: v.Revision}, err
}

func changeLine(c operator.ChangeResult) string {
	switch {
	case c.Unchanged:
		return fmt.Sprintf("%s: unchanged at revision %d", c.Client, c.Revision)
	case c.Superseded:
		return fmt.Sprintf("%s: accepted at revision %d, replaced by another change since", c.Client, c.Revision)
	}
	return fmt.Sprintf("%s: accepted at revision %d", c.Client, c.Revision)
}

// waitInForce queries every live entry until all have the revisions in force, or
// the limit has passed.
func waitInForce(cmd *cobra.Command, c *client.Client, revisions map[string]int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), limit)
	defer cancel()
	start := time.Now()
	live, lagging := 0, []string(nil)
	timeout := min(roundTimeout, limit/minRounds)
	for {
		liveNow, laggingNow, err := checkOnce(ctx, c, revisions, timeout)
		if err == nil {
			live, lagging = liveNow, laggingNow
		}
		if err == nil && len(lagging) == 0 {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "in force on %d of %d live entries after %s\n",
				live, live, time.Since(start).Round(time.Millisecond))
			return err
		}
		// Starts no round that the limit would cut short, since it would report
		// entries as lagging that had no time to answer.
		if !uptime.Sleep(ctx, waitInterval) || time.Since(start)+timeout > limit {
			break
		}
	}
	return &statusError{exitNotPropagated, fmt.Errorf(
		"accepted, and in force on %d of %d live entries after %s; not seen on: %s. The change continues to propagate; check again with `almondstand contract get`",
		live-len(lagging), live, limit, strings.Join(lagging, ", "))}
}

// checkOnce queries every live entry once, with limit as the timeout.
func checkOnce(ctx context.Context, c *client.Client, revisions map[string]int64, limit time.Duration) (live int, lagging []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return findLagging(ctx, c, revisions)
}

// findLagging returns the number of live entries, and the ids of those that lack
// a revision or did not answer.
func findLagging(ctx context.Context, c *client.Client, revisions map[string]int64) (live int, lagging []string, err error) {
	answers, err := client.CallAll(ctx, c, func(ctx context.Context, c *client.Client) (bool, error) {
		return hasRevisions(ctx, c, revisions)
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

func hasRevisions(ctx context.Context, c *client.Client, revisions map[string]int64) (bool, error) {
	for clientID, revision := range revisions {
		v, err := c.Contract(ctx, clientID)
		if client.IsCode(err, operator.CodeNotFound) {
			return false, nil
		}
		if err != nil || v.Revision < revision {
			return false, err
		}
	}
	return true, nil
}
