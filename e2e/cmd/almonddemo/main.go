// Command almonddemo starts two entries and four guards on stand-ins of the
// platform, runs a job of 100 tasks, and tells its story from the logs.
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
	limit     = 30 * time.Second
	firstRows = 12
)

var errDemo = errors.New("almonddemo: the job was not completed")

func main() {
	if err := demo(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func demo() error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "almonddemo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin := filepath.Join("bin")
	binaries := harness.Binaries{Entry: filepath.Join(bin, "almondstand"), Guard: filepath.Join(bin, "almondguard")}
	fmt.Println("Starting 2 entries and 4 guards, with stand-ins of the store and the runners")
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
	fmt.Printf("Answered %d %s after %d ms; the runners began %d tasks\n", answer.Status, strings.TrimSpace(answer.Text), answer.Took.Milliseconds(), f.Judge.Starts())
	if answer.State != "completed" || f.Judge.Starts() != tasks || len(f.Judge.Violations()) > 0 {
		return fmt.Errorf("%w: %v", errDemo, f.Judge.Violations())
	}
	return story(f, job.ID)
}

// story ends the processes, so that their logs are whole, and explains the job.
func story(f *fleet.Fleet, id string) error {
	nodes := append(append([]*fleet.Node{}, f.Entries...), f.Guards...)
	for _, n := range nodes {
		n.Process().Terminate()
	}
	var logs []io.Reader
	for _, n := range nodes {
		<-n.Process().Done()
		logs = append(logs, strings.NewReader(n.Process().Log()))
	}
	s, err := explain.FromLogs(id, logs...)
	if err != nil {
		return err
	}
	fmt.Printf("\nalmondstand explain %s tells %d lines, the first of them:\n", id, len(s.Events))
	s.Events = s.Events[:min(len(s.Events), firstRows)]
	return s.Print(os.Stdout)
}
