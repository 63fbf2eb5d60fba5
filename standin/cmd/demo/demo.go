package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	entryCount   = 2
	guardCount   = 2
	slots        = 8
	pollInterval = 100 * time.Millisecond
)

var errDuplicateOrMissingStarts = errors.New("the runners' records don't show exactly one start of each task")

// demo is the state of the running demo.
type demo struct {
	bin, dir    string
	startGroups [][]*process
	store       string
	entries     []entryListen
	guards      []string // local addresses, for the runners beside the guards
	runners     []string
}

func (d *demo) startStore(context.Context) (err error) {
	fmt.Println("Starting processes")
	d.newStartGroup()
	d.store, err = d.start("store", true, "standin", "store")
	return err
}

func (d *demo) startEntries(ctx context.Context) error {
	d.newStartGroup()
	for range entryCount {
		var l entryListen
		for _, to := range []*string{&l.Callers, &l.Internal, &l.Operators} {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			*to = address
		}
		d.entries = append(d.entries, l)
	}
	for i, l := range d.entries {
		if err := d.startEntry(fmt.Sprintf("entry-%d", i+1), l); err != nil {
			return err
		}
	}
	for _, l := range d.entries {
		if err := waitUntilReady(ctx, l.Operators); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startEntry(id string, l entryListen) error {
	path, err := d.write(id+".json", entryFile{
		ID:         id,
		DataCentre: dataCentre,
		Listen:     l,
		Platform:   platformSettings{Addresses: []string{d.store}},
		Peers:      peersSettings{Seeds: d.internalAddresses(), Secret: secret},
		Operators:  operatorsSettings{TokenDigest: digest(operatorToken)},
	})
	if err != nil {
		return err
	}
	_, err = d.start(id, false, "almondstand", "entry", "--settings", path)
	return err
}

func (d *demo) internalAddresses() []string {
	var all []string
	for _, l := range d.entries {
		all = append(all, l.Internal)
	}
	return all
}

func (d *demo) startGuards(context.Context) error {
	d.newStartGroup()
	for i := range guardCount {
		local, err := d.startGuard(fmt.Sprintf("guard-%d", i+1))
		if err != nil {
			return err
		}
		d.guards = append(d.guards, local)
	}
	return nil
}

// startRunners starts a runner for each guard, and one without a guard.
func (d *demo) startRunners(context.Context) error {
	d.newStartGroup()
	for i, local := range d.guards {
		if err := d.startRunner(fmt.Sprintf("runner-%d", i+1), "http://"+local); err != nil {
			return err
		}
	}
	return d.startRunner("bare", "http://"+strings.Join(d.internalAddresses(), ",http://"))
}

func (d *demo) startGuard(id string) (local string, err error) {
	var l guardListen
	for _, to := range []*string{&l.Internal, &l.Local} {
		if *to, err = freeAddress(); err != nil {
			return "", err
		}
	}
	path, err := d.write(id+".json", guardFile{ID: id, DataCentre: dataCentre, Listen: l, Balancers: d.internalAddresses(), Secret: secret})
	if err != nil {
		return "", err
	}
	_, err = d.start(id, false, "almondguard", "run", "--settings", path)
	return l.Local, err
}

func (d *demo) startRunner(name, announceTo string) error {
	address, err := d.start(name, true, "standin", "runner",
		"--service", service, "--zone", dataCentre, "--slots", fmt.Sprint(slots), "--announce", announceTo)
	d.runners = append(d.runners, address)
	return err
}

func (d *demo) applyContract(ctx context.Context) error {
	path, err := d.write("contract.json", demoContract())
	if err != nil {
		return err
	}
	fmt.Println("\nApplying a contract")
	return d.almondstand(ctx, "contract", "apply", path, "--wait")
}

// endpoints has the fields that the demo uses from the response to GET /v1/endpoints.
type endpoints struct {
	Endpoints []struct {
		Usable bool `json:"usable"`
	} `json:"endpoints"`
}

// waitForEndpoints waits until every entry can use every endpoint.
func (d *demo) waitForEndpoints(ctx context.Context) error {
	for _, l := range d.entries {
		err := poll(ctx, "endpoints at "+l.Operators, func() bool {
			var listing endpoints
			if getJSON(ctx, "http://"+l.Operators+"/v1/endpoints", &listing) != nil {
				return false
			}
			usable := 0
			for _, e := range listing.Endpoints {
				if e.Usable {
					usable++
				}
			}
			return usable == guardCount+1
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) submitJob(ctx context.Context) error {
	job, totalMs := demoJob()
	path, err := d.write("job.json", job)
	if err != nil {
		return err
	}
	minimum := time.Duration(totalMs) * time.Millisecond / ((guardCount + 1) * slots)
	fmt.Printf("\nSubmitting a job of %d tasks, %d ms to %d ms each; with %d slots it takes at least %s\n",
		taskCount, shortestMs, shortestMs+(taskCount-1)*perTaskMs, (guardCount+1)*slots, minimum.Round(time.Millisecond))
	start := time.Now()
	out, err := d.command(ctx, "submit", path).Output()
	elapsed := time.Since(start)
	if err != nil {
		return fmt.Errorf("submit: %w\n%s", err, out)
	}
	printAbbreviated(string(out))
	fmt.Printf("complete response after %s\n", elapsed.Round(time.Millisecond))
	return nil
}

// shownLinesPerEnd is how many of the first and of the last lines of a long table are
// printed.
const shownLinesPerEnd = 4

func printAbbreviated(text string) {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	for i, line := range lines {
		switch {
		case i < shownLinesPerEnd || i >= len(lines)-shownLinesPerEnd:
			fmt.Println(line)
		case i == shownLinesPerEnd:
			fmt.Printf("... %d more\n", len(lines)-2*shownLinesPerEnd)
		}
	}
}

// startRecord has the fields that the demo uses from a runner's record of starts.
type startRecord struct {
	Tasks map[string]int `json:"tasks"`
	Total int            `json:"total"`
}

// verifyStarts checks, using the runners' own records, that every task was started exactly
// once, counting the starts on all runners together.
func (d *demo) verifyStarts(ctx context.Context) error {
	fmt.Println("\nTasks started by the runners")
	startCounts := map[string]int{}
	total := 0
	for _, address := range d.runners {
		var s startRecord
		if err := getJSON(ctx, "http://"+address+"/standin/starts", &s); err != nil {
			return err
		}
		fmt.Printf("  runner %s: %d tasks\n", address, s.Total)
		total += s.Total
		for task, n := range s.Tasks {
			startCounts[task] += n
		}
	}
	fmt.Printf("  total: %d starts of %d tasks\n", total, len(startCounts))
	if total != taskCount || len(startCounts) != taskCount {
		return errDuplicateOrMissingStarts
	}
	return nil
}

func (d *demo) report(ctx context.Context) error {
	fmt.Println("\nService-level burn")
	if err := d.almondstand(ctx, "report", "burn"); err != nil {
		return err
	}
	fmt.Println("\nControl traffic")
	return d.almondstand(ctx, "report", "control")
}

// almondstand runs a subcommand of the command-line tool and prints its output.
func (d *demo) almondstand(ctx context.Context, args ...string) error {
	fmt.Println("$ almondstand", strings.ReplaceAll(strings.Join(args, " "), d.dir+"/", ""))
	cmd := d.command(ctx, args...)
	cmd.Stdout = os.Stdout
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("almondstand %s: %w", args[0], err)
	}
	return nil
}

func (d *demo) command(ctx context.Context, args ...string) *exec.Cmd {
	var callers, operators []string
	for _, l := range d.entries {
		callers = append(callers, l.Callers)
		operators = append(operators, l.Operators)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "almondstand"), args...)
	cmd.Env = append(os.Environ(),
		"ALMOND_CALLERS="+strings.Join(callers, ","),
		"ALMOND_TOKEN="+callerToken,
		"ALMOND_OPERATORS="+strings.Join(operators, ","),
		"ALMOND_OPERATOR_TOKEN="+operatorToken)
	cmd.Stderr = os.Stderr
	return cmd
}

func waitUntilReady(ctx context.Context, address string) error {
	return poll(ctx, address+" to be ready", func() bool {
		resp, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	})
}

func poll(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// getJSON reads a JSON response from an operator's API, with the operator's token.
func getJSON(ctx context.Context, url string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(target)
}
