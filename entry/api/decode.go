package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"almondstand.dev/entry/engine"
)

// Maximum lengths of the text fields of a job, in bytes.
const (
	maxServiceName = 64
	maxKind        = 64
)

// FieldError reports an invalid field of a request body.
type FieldError struct {
	// Path is the JSON path of the field, such as "tasks[3].run_time"; it is
	// empty for the body as a whole.
	Path    string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Problem
	}
	return e.Path + ": " + e.Problem
}

// jobRequest is a decoded job.
type jobRequest struct {
	service    string
	idempotent bool
	tasks      []engine.Task
	// misdeclared counts tasks whose declared size differs from the payload size.
	misdeclared int
}

// decodeJob decodes a job strictly: an unknown or duplicate field, or one of the
// wrong type, is an error that includes its path. Nesting deeper than the known
// fields fails at its first level, so no separate depth limit is needed.
func decodeJob(body []byte) (*jobRequest, error) {
	d := newDecoder(body)
	var j jobRequest
	err := d.object("", func(path, name string) error {
		switch name {
		case "service":
			return d.value(path, &j.service, "a string")
		case "idempotent":
			return d.value(path, &j.idempotent, "true or false")
		case "tasks":
			return d.array(path, func(path string) error { return d.task(path, &j) })
		}
		return errUnknownField(path)
	})
	if err != nil {
		return nil, err
	}
	if err := d.end(); err != nil {
		return nil, err
	}
	return &j, j.check()
}

func (j *jobRequest) check() error {
	if !validName(j.service, maxServiceName) {
		return &FieldError{"service", "required: 1 to 64 letters, digits or one of . _ -"}
	}
	if len(j.tasks) == 0 {
		return &FieldError{"tasks", fmt.Sprintf("required: 1 to %d tasks", MaxTasks)}
	}
	if j.idempotent && len(j.tasks) > 1 {
		return &FieldError{"idempotent", "only a job of one task may be idempotent"}
	}
	return nil
}

func (d *decoder) task(path string, j *jobRequest) error {
	if len(j.tasks) == MaxTasks {
		return &FieldError{"tasks", fmt.Sprintf("at most %d tasks are allowed", MaxTasks)}
	}
	var t engine.Task
	var size *int64
	var runTime string
	err := d.object(path, func(path, name string) error {
		switch name {
		case "kind":
			return d.value(path, &t.Kind, "a string")
		case "payload":
			return d.value(path, &t.Payload, "a string in base64")
		case "size":
			return d.value(path, &size, "a whole number of bytes")
		case "run_time":
			return d.value(path, &runTime, `a duration such as "200ms"`)
		}
		return errUnknownField(path)
	})
	if err != nil {
		return err
	}
	if t.Kind != "" && !validName(t.Kind, maxKind) {
		return &FieldError{path + ".kind", "1 to 64 letters, digits or one of . _ -"}
	}
	if size != nil && *size < 0 {
		return &FieldError{path + ".size", "must not be negative"}
	}
	if size != nil && *size != int64(len(t.Payload)) {
		j.misdeclared++
	}
	if t.Declared, err = parseRunTime(path, runTime); err != nil {
		return err
	}
	j.tasks = append(j.tasks, t)
	return nil
}

func parseRunTime(path, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return 0, &FieldError{path + ".run_time", `write a duration such as "200ms"`}
	}
	return v, nil
}

// decodeCount decodes the body of POST /v1/submissions: empty, or {"count": n}.
func decodeCount(body []byte) (int, error) {
	count := 1
	if len(bytes.TrimSpace(body)) == 0 {
		return count, nil
	}
	d := newDecoder(body)
	err := d.object("", func(path, name string) error {
		if name != "count" {
			return errUnknownField(path)
		}
		return d.value(path, &count, "a whole number")
	})
	if err != nil {
		return 0, err
	}
	if err := d.end(); err != nil {
		return 0, err
	}
	if count < 1 || count > MaxMint {
		return 0, &FieldError{"count", fmt.Sprintf("1 to %d are allowed", MaxMint)}
	}
	return count, nil
}

// validName reports whether s has 1 to limit bytes, all of them safe in HTTP
// headers, metric labels and logs.
func validName(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}

// decoder reads JSON tokens and includes the path of a field in its errors.
type decoder struct{ json *json.Decoder }

func newDecoder(body []byte) *decoder {
	return &decoder{json.NewDecoder(bytes.NewReader(body))}
}

func errUnknownField(path string) error {
	return &FieldError{path, "unknown field"}
}

func (d *decoder) object(path string, field func(path, name string) error) error {
	if err := d.open(path, '{', "an object"); err != nil {
		return err
	}
	seen := map[string]bool{}
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return malformed(path, err)
		}
		name, _ := token.(string)
		at := join(path, name)
		if seen[name] {
			return &FieldError{at, "given twice"}
		}
		seen[name] = true
		if err := field(at, name); err != nil {
			return err
		}
	}
	return d.close(path)
}

func (d *decoder) array(path string, element func(path string) error) error {
	if err := d.open(path, '[', "an array"); err != nil {
		return err
	}
	for i := 0; d.json.More(); i++ {
		if err := element(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return d.close(path)
}

func (d *decoder) open(path string, delim json.Delim, want string) error {
	token, err := d.json.Token()
	if err != nil && isMalformed(err) {
		return malformed(path, err)
	}
	if err != nil || token != delim {
		return &FieldError{path, "must be " + want}
	}
	return nil
}

func (d *decoder) close(path string) error {
	if _, err := d.json.Token(); err != nil {
		return malformed(path, err)
	}
	return nil
}

func (d *decoder) value(path string, into any, want string) error {
	err := d.json.Decode(into)
	if err == nil {
		return nil
	}
	if isMalformed(err) {
		return malformed(path, err)
	}
	return &FieldError{path, "must be " + want}
}

// isMalformed reports whether err is a syntax error rather than a value of the
// wrong type or range. The error text for the latter quotes the whole value, so
// it is not passed on.
func isMalformed(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
}

func (d *decoder) end() error {
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{"", "more data after the body's JSON value"}
	}
	return nil
}

func malformed(path string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &FieldError{path, "malformed JSON: it ends too early"}
	}
	return &FieldError{path, "malformed JSON: " + err.Error()}
}

const maxQuotedName = 64

func join(path, name string) string {
	if len(name) > maxQuotedName {
		name = name[:maxQuotedName] + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
