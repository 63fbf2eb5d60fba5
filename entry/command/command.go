// Package command is the command line of almondstand: one file for each verb.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/operator/client"
)

// Entry is what the command line needs to know of the entry process.
type Entry struct {
	// Run serves until ctx ends, then drains.
	Run func(ctx context.Context, settingsPath string) error
	// Check reads and checks a settings file.
	Check func(settingsPath string) error
	// Example returns settings that a new deployment starts from.
	Example func() any
}

// Names of environment variables. Tokens are never flags: every user of a host
// can read the arguments of its processes.
const (
	envOperators     = "ALMOND_OPERATORS"
	envOperatorToken = "ALMOND_OPERATOR_TOKEN"
	envCallers       = "ALMOND_CALLERS"
	envToken         = "ALMOND_TOKEN"
)

// Exit statuses.
const (
	exitOK = 0
	// exitError: a mistake in the call, or nobody answered.
	exitError = 1
	// exitFailed: the job failed and ran, in whole or in part.
	exitFailed = 2
	// exitNotRun: the job was refused and no task of it ran.
	exitNotRun = 3
	// exitUnknown: whether the job ran is not known.
	exitUnknown = 4
	// exitConflict: another version of the contract is in force.
	exitConflict = 5
	// exitNotEverywhere: accepted, but not yet seen in force on every live entry.
	exitNotEverywhere = 6
)

// statusError carries an exit status.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

// Execute runs the command line and returns the exit status. An error is
// written as one line.
func Execute(ctx context.Context, entry Entry, args []string, out, errOut io.Writer) int {
	root := New(entry)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "almondstand:", oneLine(err))
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}
	return exitError
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// New returns the command line.
func New(entry Entry) *cobra.Command {
	root := &cobra.Command{
		Use:   "almondstand",
		Short: "Dispatch sub-second tasks under contracts",
		Long: "Dispatch sub-second tasks under contracts.\n\n" +
			"Operators' verbs ask entries at --operators or $" + envOperators + ", with the token in $" + envOperatorToken + ".\n" +
			"submit asks entries at --callers or $" + envCallers + ", with the token in $" + envToken + ".",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		entryCommand(entry),
		contractCommand(),
		submitCommand(),
		reportCommand(),
		settingsCommand(entry),
		eventsCommand(),
		explainCommand(),
		versionCommand(),
	)
	return root
}

// operators holds the flags of verbs that ask the operators' interface.
type operators struct{ addresses []string }

func (o *operators) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringSliceVar(&o.addresses, "operators", nil,
		"operators' addresses of entries, IP:port, tried in order (default $"+envOperators+")")
}

func (o *operators) client() (*client.Client, error) {
	addresses, err := addresses(o.addresses, "--operators", envOperators)
	if err != nil {
		return nil, err
	}
	token, err := token(envOperatorToken)
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Addresses: addresses, Token: token}), nil
}

func addresses(flag []string, name, env string) ([]string, error) {
	if len(flag) > 0 {
		return flag, nil
	}
	if text := os.Getenv(env); text != "" {
		return strings.Split(text, ","), nil
	}
	return nil, fmt.Errorf("no address: give %s IP:port or set %s", name, env)
}

func token(env string) (string, error) {
	text := os.Getenv(env)
	if text == "" {
		return "", fmt.Errorf("no token: set %s", env)
	}
	return text, nil
}
