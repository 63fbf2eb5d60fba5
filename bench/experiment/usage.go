package experiment

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"almondstand.dev/bench/result"
	"almondstand.dev/e2e/harness"
)

// counters holds counts by kind.
type counters map[string]float64

func (c counters) minus(other counters) map[string]float64 {
	out := map[string]float64{}
	for k, v := range c {
		out[k] = v - other[k]
	}
	return out
}

// usage holds the message counts and resource usage of the processes so far. Those of a
// killed entry are lost.
type usage struct {
	messages  counters
	processes map[string]harness.Usage
}

func readUsage(ctx context.Context, c *harness.Cluster) (usage, error) {
	u := usage{messages: counters{}, processes: map[string]harness.Usage{}}
	for _, e := range c.Entries {
		if err := u.read(ctx, e.Process, e.Operators, "almondstand_"); err != nil {
			return usage{}, err
		}
	}
	for _, g := range c.Guards {
		if err := u.read(ctx, g.Process, g.Local, "almondguard_"); err != nil {
			return usage{}, err
		}
	}
	return u, nil
}

func (u usage) read(ctx context.Context, p *harness.Process, address, prefix string) error {
	select {
	case <-p.Done():
		return nil
	default:
	}
	used, err := p.Usage()
	if err != nil {
		return err
	}
	u.processes[p.Name] = used
	return u.scrape(ctx, address, prefix)
}

// messageMetrics are the prefixes of the metrics that count messages; the value of
// their label becomes the kind.
var messageMetrics = []string{
	"almondstand_messages{", "almondstand_control_calls{", "almondstand_store_calls{",
	"almondguard_refusals{", "almondguard_resolves",
}

func (u usage) scrape(ctx context.Context, address, prefix string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		u.parseLine(lines.Text(), prefix)
	}
	return lines.Err()
}

func (u usage) parseLine(line, prefix string) {
	for _, k := range messageMetrics {
		if !strings.HasPrefix(line, k) {
			continue
		}
		cut := strings.LastIndexByte(line, ' ')
		value, err := strconv.ParseFloat(line[cut+1:], 64)
		if err == nil {
			u.messages[kindOf(line[:cut], prefix)] += value
		}
	}
}

// kindOf converts almondstand_messages{kind="start"} to messages.start.
func kindOf(metric, prefix string) string {
	metric = strings.TrimPrefix(metric, prefix)
	base, label, found := strings.Cut(metric, "{")
	if !found {
		return base
	}
	_, value, _ := strings.Cut(label, `"`)
	return base + "." + strings.TrimSuffix(value, `"}`)
}

// perProcess returns the average processor cores and the memory used by each process.
func (u usage) perProcess(before usage, took time.Duration) map[string]result.Process {
	out := map[string]result.Process{}
	for name, now := range u.processes {
		cpu := now.CPU - before.processes[name].CPU
		out[name] = result.Process{Cores: cpu.Seconds() / took.Seconds(), RSS: now.RSS}
	}
	return out
}
