// Package command implements the command line of almondstand, with one file for
// each subcommand.
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

// Entry holds the functions of the entry process that the command line calls.
type Entry struct {
	// Run serves until ctx ends, then drains.
	Run func(ctx context.Context, settingsPath string) error
	// Check reads and checks a settings file.
	Check func(settingsPath string) error
	// Example returns example settings for a new deployment.
	Example func() any
}

// Names of environment variables. Tokens cannot be given as flags, since every
// user of a host can read the arguments of its processes.
const (
	envOperators     = "ALMOND_OPERATORS"
	envOperatorToken = "ALMOND_OPERATOR_TOKEN"
	envCallers       = "ALMOND_CALLERS"
	envToken         = "ALMOND_TOKEN"
)

// Exit statuses.
const (
	exitOK = 0
	// exitError: the command line is invalid, or no entry answered.
	exitError = 1
	// exitFailed: the job failed after at least one of its tasks had run.
	exitFailed = 2
	// exitNotRun: the job was rejected and none of its tasks ran.
	exitNotRun = 3
	// exitUnknown: it is unknown whether the job ran.
	exitUnknown = 4
	// exitConflict: another version of the contract is in force.
	exitConflict = 5
	// exitNotPropagated: the change was accepted, but was not yet seen in force
	// on every live entry.
	exitNotPropagated = 6
)

// statusError is an error that determines the exit status.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

// Execute runs the command line and returns the exit status. It writes an error
// as a single line to errOut.
func Execute(ctx context.Context, entry Entry, args []string, out, errOut io.Writer) int {
	root := New(entry)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "almondstand:", singleLine(err))
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}
	return exitError
}

func singleLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// New returns the command line.
func New(entry Entry) *cobra.Command {
	root := &cobra.Command{
		Use:   "almondstand",
		Short: "Dispatch sub-second tasks under contracts",
		Long: "Dispatch sub-second tasks under contracts.\n\n" +
			"Operators' commands call entries at --operators or $" + envOperators + ", with the token in $" + envOperatorToken + ".\n" +
			"submit calls entries at --callers or $" + envCallers + ", with the token in $" + envToken + ".",
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

// operatorFlags holds the flags of commands that call the operators' API.
type operatorFlags struct{ addresses []string }

func (o *operatorFlags) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringSliceVar(&o.addresses, "operators", nil,
		"operators' addresses of entries, IP:port, tried in order (default $"+envOperators+")")
}

func (o *operatorFlags) client() (*client.Client, error) {
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
