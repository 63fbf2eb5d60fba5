package command

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/operator"
	"almondstand.dev/entry/operator/client"
)

func contractCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "contract", Short: "Write, read and retire customers' contracts"}
	o := &operatorFlags{}
	o.addFlags(cmd)
	cmd.AddCommand(
		applyCommand(o),
		getCommand(o),
		listCommand(o),
		retireCommand(o),
		historyCommand(o),
	)
	return cmd
}

// withAdvice adds to an error what the operator can do about it.
func withAdvice(clientID string, err error) error {
	var f *client.Failure
	if !errors.As(err, &f) {
		return err
	}
	switch f.Code() {
	case operator.CodeConflict:
		return &statusError{exitConflict, conflictError(clientID, f)}
	case operator.CodeUnauthenticated:
		return fmt.Errorf("%w: check %s", err, envOperatorToken)
	}
	return err
}

func conflictError(clientID string, f *client.Failure) error {
	if f.InForce == nil {
		return fmt.Errorf("%s: conflict: there is no contract to replace: apply without --revision", clientID)
	}
	return fmt.Errorf("%s: conflict: revision %d, written %s, is in force: read it with `almondstand contract get %s`, merge, and apply with --revision %d",
		clientID, f.InForce.Revision, f.InForce.WrittenAt.Format(time.RFC3339), clientID, f.InForce.Revision)
}

var versionHeader = []string{"CUSTOMER", "STATE", "REVISION", "WRITTEN", "RATE", "BURST", "IN FLIGHT", "URGENCY", "ANSWER TIME", "RUN LIMIT", "OBJECTIVE"}

func versionRow(v contracts.Version) []string {
	c := v.Contract
	return []string{
		c.Client, string(c.State), strconv.FormatInt(v.Revision, 10), v.WrittenAt.Format(time.RFC3339),
		strconv.FormatFloat(c.Rate, 'g', -1, 64), strconv.Itoa(c.Burst), strconv.Itoa(c.InFlight), strconv.Itoa(c.Priority),
		c.AnswerTime.String(), c.RunLimit.String(), strconv.FormatFloat(c.Objective, 'g', -1, 64),
	}
}

func versionTable(versions []contracts.Version) [][]string {
	rows := [][]string{versionHeader}
	for _, v := range versions {
		rows = append(rows, versionRow(v))
	}
	return rows
}
