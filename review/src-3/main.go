// Command cases plays the cases of the third review: it starts the project's programs and the stand-ins,
// causes one disruption, and checks one rule.
//
// usage: cases CASE FOLDER
//
// FOLDER is where record.txt is written. With TROUBLE=0 in the environment the disruption is left out. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/e2e/harness"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play is one case. It returns an error if the case could not run.
type play func(ctx context.Context, r *record, trouble bool, dir string) (violations []string, err error)

var cases = map[string]play{
	"late-start-of-lost-host": lateStartOfLostHost,
	"foreign-heartbeat":       foreignHeartbeat,
	"drain-exit":              drainExit,
	// No case: see REPORT-3.md.
	"failed-unrun": failedUnrun,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		return couldNot
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "almond-case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", os.Args[1], trouble)
	violations, err := cases[os.Args[1]](ctx, r, trouble, dir)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	case len(violations) > 0:
		for _, v := range violations {
			r.add("BROKEN %s", v)
		}
		fmt.Printf("the rule was broken %d times, first: %s\n", len(violations), violations[0])
		return broken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return held
}

// startFleet starts entries and guards with the commands of the deploy file, and the stand-ins of the store
// and of the runners, and waits until all entries are ready.
func startFleet(ctx context.Context, dir string, o fleet.Options) (*fleet.Fleet, error) {
	o.Binaries = harness.Binaries{Entry: "target/almondstand", Guard: "target/almondguard"}
	o.Dir = dir
	for range o.Entries {
		o.Cores = append(o.Cores, 0.4)
	}
	f, err := fleet.New(ctx, o)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := f.AwaitReady(ready); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// writeTrace writes what the runners have received and run.
func writeTrace(r *record, f *fleet.Fleet) {
	for _, e := range f.Checker.Trace() {
		r.addAt(e.At, "%s", e.Text)
	}
}

// sleep waits unless the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
