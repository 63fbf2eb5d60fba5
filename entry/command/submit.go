package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/caller"
)

// defaultSubmitTimeout is how long submit waits for a job by default.
const defaultSubmitTimeout = time.Minute

// submitFlags are the flags of submit.
type submitFlags struct {
	callers []string
	timeout time.Duration
	quiet   bool
}

func submitCommand() *cobra.Command {
	var flags submitFlags
	cmd := &cobra.Command{
		Use:   "submit FILE|-",
		Short: "Submit a job from a file or stdin and print one result per task",
		Long: "Submit a job under one id and wait for its final answer, repeating the request if an answer is lost.\n" +
			"The file is a job as described in docs/API.md; a task may have \"text\" instead of the base64 \"payload\".\n\n" +
			"Exit status: 0 complete, 1 invalid command line or file, 2 failed and ran, 3 rejected and not run,\n" +
			"4 unknown whether it ran.",
		Args: cobra.ExactArgs(1),
	}
	out := addOutputFlag(cmd, formatTable, formatJSON)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := out.check(); err != nil {
			return err
		}
		return submit(cmd, args[0], flags, out.format)
	}
	f := cmd.Flags()
	f.StringSliceVar(&flags.callers, "callers", nil, "callers' addresses of entries, IP:port (default $"+envCallers+")")
	f.DurationVar(&flags.timeout, "limit", defaultSubmitTimeout, "give up after this long")
	f.BoolVar(&flags.quiet, "quiet", false, "do not show progress on a terminal")
	return cmd
}

func submit(cmd *cobra.Command, path string, flags submitFlags, format string) error {
	body, err := readJob(cmd.InOrStdin(), path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	addresses, err := addresses(flags.callers, "--callers", envCallers)
	if err != nil {
		return err
	}
	token, err := token(envToken)
	if err != nil {
		return err
	}
	p := newProgress(cmd.ErrOrStderr(), flags.quiet)
	client := caller.New(caller.Options{Addresses: addresses, Token: token, OnRetry: p.setWaiting})
	ctx, cancel := context.WithTimeout(cmd.Context(), flags.timeout)
	defer cancel()
	p.start()
	result, err := client.Submit(ctx, body)
	p.stop()
	if err != nil && !errors.Is(err, caller.ErrNoFinalResponse) {
		return &statusError{exitUnknown, err}
	}
	return reportResult(cmd.OutOrStdout(), result, err, flags.timeout, format)
}

// reportResult prints the result and returns an error with the exit status if the
// job is not complete.
func reportResult(w io.Writer, r caller.Result, giveUpErr error, timeout time.Duration, format string) error {
	if giveUpErr != nil {
		return &statusError{exitStatus(r.Ran), fmt.Errorf("submission %s: %w (%s), ran: %s: %s", idOrPlaceholder(r.Submission), giveUpErr, timeout, r.Ran, r.Message)}
	}
	if err := printResult(w, r, format); err != nil {
		return err
	}
	if r.Complete {
		return nil
	}
	return &statusError{exitStatus(r.Ran), fmt.Errorf("submission %s: %s (%s), ran: %s", idOrPlaceholder(r.Submission), r.Message, r.Code, r.Ran)}
}

func idOrPlaceholder(id string) string {
	if id == "" {
		return "without id"
	}
	return id
}

func exitStatus(ran caller.Ran) int {
	switch ran {
	case caller.RanNo:
		return exitNotRun
	case caller.RanYes:
		return exitFailed
	}
	return exitUnknown
}
