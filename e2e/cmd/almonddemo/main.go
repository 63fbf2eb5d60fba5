// Command almonddemo starts two entries and four guards with stand-ins for the
// platform, runs a job of 100 tasks, and prints the job's timeline from the logs.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/e2e/harness"
	"almondstand.dev/entry/explain"
)

const (
	tasks     = 100
	taskMs    = 60
	taskCPU   = 1000 // thousandths of a core; the four runners have 128 cores
	timeout   = 30 * time.Second
	maxEvents = 12
)

var errDemo = errors.New("almonddemo: the job did not complete as expected")

func main() {
	if err := demo(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func demo() error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "almonddemo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin := filepath.Join("bin")
	binaries := harness.Binaries{Entry: filepath.Join(bin, "almondstand"), Guard: filepath.Join(bin, "almondguard")}
	fmt.Println("Starting 2 entries and 4 guards, with stand-ins for the store and the runners")
	f, err := fleet.New(ctx, fleet.Options{Binaries: binaries, Dir: dir, Entries: 2, Guards: 4})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.AwaitReady(ctx); err != nil {
		return err
	}
	job := fleet.NewJob(tasks, taskMs)
	job.CPU = taskCPU
	fmt.Printf("Submitting job %s: %d tasks of %d ms\n", job.ID, tasks, taskMs)
	answer := f.Submit(ctx, 0, job, 1)
	fmt.Printf("Answered %d %s after %d ms; the runners started %d tasks\n", answer.Status, strings.TrimSpace(answer.Text), answer.Took.Milliseconds(), f.Checker.Starts())
	if answer.State != "completed" || f.Checker.Starts() != tasks || len(f.Checker.Violations()) > 0 {
		return fmt.Errorf("%w: %v", errDemo, f.Checker.Violations())
	}
	return printTimeline(f, job.ID)
}

// printTimeline terminates the processes, so that their logs are complete, and prints the
// first events of the job as almondstand explain does.
func printTimeline(f *fleet.Fleet, jobID string) error {
	nodes := append(append([]*fleet.Node{}, f.Entries...), f.Guards...)
	for _, n := range nodes {
		n.Process().Terminate()
	}
	var logs []io.Reader
	for _, n := range nodes {
		<-n.Process().Done()
		logs = append(logs, strings.NewReader(n.Process().Log()))
	}
	timeline, err := explain.FromLogs(jobID, logs...)
	if err != nil {
		return err
	}
	fmt.Printf("\nalmondstand explain %s prints %d lines, the first of them:\n", jobID, len(timeline.Events))
	timeline.Events = timeline.Events[:min(len(timeline.Events), maxEvents)]
	return timeline.Print(os.Stdout)
}
