package command

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"almondstand.dev/settings"
)

// jobFile is the format of a job file.
type jobFile struct {
	Service    string     `json:"service" validate:"required"`
	Idempotent bool       `json:"idempotent"`
	Tasks      []taskFile `json:"tasks" validate:"min=1,max=100,dive"`
}

type taskFile struct {
	Kind    string `json:"kind"`
	Payload string `json:"payload" validate:"omitempty,base64"`
	// Text is the payload as plain text, in place of Payload.
	Text    string            `json:"text" validate:"excluded_with=Payload"`
	Size    int64             `json:"size" validate:"min=0"`
	RunTime settings.Duration `json:"run_time" validate:"min=0"`
}

// wireJob is the request body that the callers' API accepts.
type wireJob struct {
	Service    string     `json:"service"`
	Idempotent bool       `json:"idempotent,omitempty"`
	Tasks      []wireTask `json:"tasks"`
}

type wireTask struct {
	Kind    string `json:"kind,omitempty"`
	Payload []byte `json:"payload"`
	Size    int64  `json:"size,omitempty"`
	RunTime string `json:"run_time,omitempty"`
}

// readJob reads a job file and encodes it as a request body for the callers' API.
func readJob(stdin io.Reader, path string) ([]byte, error) {
	var raw []byte
	var err error
	if path == stdinName {
		raw, err = io.ReadAll(stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	var job jobFile
	if err := settings.Decode(raw, &job); err != nil {
		return nil, err
	}
	out := wireJob{Service: job.Service, Idempotent: job.Idempotent}
	for i, t := range job.Tasks {
		w, err := t.toWire()
		if err != nil {
			return nil, fmt.Errorf("tasks[%d].payload: %w", i, err)
		}
		out.Tasks = append(out.Tasks, w)
	}
	return json.Marshal(out)
}

func (t taskFile) toWire() (wireTask, error) {
	w := wireTask{Kind: t.Kind, Payload: []byte(t.Text), Size: t.Size}
	if t.RunTime > 0 {
		w.RunTime = t.RunTime.Std().String()
	}
	if t.Payload == "" {
		return w, nil
	}
	var err error
	w.Payload, err = base64.StdEncoding.DecodeString(t.Payload)
	return w, err
}
