package command

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const (
	// progressDelay is how long a job must run before progress is shown.
	progressDelay    = time.Second
	progressInterval = 200 * time.Millisecond
	eraseLine        = "\r\x1b[K"
)

// progress shows on a terminal that the command still waits for a job.
type progress struct {
	w         io.Writer
	startTime time.Time
	done      chan struct{}
	wg        sync.WaitGroup

	mu         sync.Mutex
	waitReason string
}

// newProgress returns a progress that prints only if w is a terminal and quiet is
// false.
func newProgress(w io.Writer, quiet bool) *progress {
	p := &progress{done: make(chan struct{})}
	if f, ok := w.(*os.File); ok && !quiet && isTerminal(f) {
		p.w = w
	}
	return p
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progress) setWaiting(waitReason string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitReason = fmt.Sprintf("%s; retrying in %s", waitReason, pause.Round(time.Millisecond))
}

func (p *progress) start() {
	if p.w == nil {
		return
	}
	p.startTime = time.Now()
	p.wg.Go(p.run)
}

func (p *progress) run() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.printLine()
		case <-p.done:
			_, _ = io.WriteString(p.w, eraseLine)
			return
		}
	}
}

func (p *progress) printLine() {
	elapsed := time.Since(p.startTime)
	if elapsed < progressDelay {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.w, "%swaiting %s %s", eraseLine, elapsed.Round(100*time.Millisecond), p.waitReason)
}

func (p *progress) stop() {
	close(p.done)
	p.wg.Wait()
}
