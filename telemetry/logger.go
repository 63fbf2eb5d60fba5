package telemetry

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
)

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// ErrLogSettings means that the log level or format is invalid.
var ErrLogSettings = errors.New("telemetry: log settings")

// NewLogger returns a logger that writes records of the level (debug, info,
// warn, error) and above, as JSON or text.
func NewLogger(w io.Writer, level, format string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("%w: level %q: write debug, info, warn or error", ErrLogSettings, level)
	}
	options := &slog.HandlerOptions{Level: l}
	switch format {
	case FormatJSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	case FormatText:
		return slog.New(slog.NewTextHandler(w, options)), nil
	default:
		return nil, fmt.Errorf("%w: format %q: write json or text", ErrLogSettings, format)
	}
}

// NewRateLimitedLogger returns a JSON logger that limits the lines of each event and never blocks on
// its output. closeOutput flushes the remaining lines.
func NewRateLimitedLogger(w io.Writer, level string, m *Metrics) (logger *slog.Logger, closeOutput func(), err error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, fmt.Errorf("%w: level %q: write debug, info, warn or error", ErrLogSettings, level)
	}
	buffered := NewBufferedWriter(w)
	limiter := NewRateLimiter(slog.NewJSONHandler(buffered, &slog.HandlerOptions{Level: l}))
	m.droppedLines = func() int64 { return buffered.Dropped() + limiter.Dropped() }
	return slog.New(limiter), buffered.Close, nil
}
