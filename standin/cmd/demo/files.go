package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Tokens and names used in the demo; a deployment must generate its own tokens.
const (
	secret        = "demo-secret"
	operatorToken = "demo-operator"
	callerToken   = "demo-caller"
	clientAccount = "rebuild-shop"
	service       = "teardown"
	dataCentre    = "zagreb"
)

// Formats of the settings files; docs/SETTINGS.md documents all fields.
type (
	entryFile struct {
		ID         string            `json:"id"`
		DataCentre string            `json:"zone"`
		Listen     entryListen       `json:"listen"`
		Platform   platformSettings  `json:"platform"`
		Peers      peersSettings     `json:"peers"`
		Operators  operatorsSettings `json:"operators"`
	}
	entryListen struct {
		Callers   string `json:"callers"`
		Internal  string `json:"internal"`
		Operators string `json:"operators"`
	}
	platformSettings struct {
		Addresses []string `json:"addresses"`
	}
	peersSettings struct {
		Seeds  []string `json:"seeds"`
		Secret string   `json:"secret"`
	}
	operatorsSettings struct {
		TokenDigest string `json:"token_digest"`
	}
	guardFile struct {
		ID         string      `json:"id"`
		DataCentre string      `json:"zone"`
		Listen     guardListen `json:"listen"`
		Balancers  []string    `json:"balancers"`
		Secret     string      `json:"secret"`
	}
	guardListen struct {
		Internal string `json:"internal"`
		Local    string `json:"local"`
	}
)

// Formats of the contract and the job.
type (
	contractFile struct {
		Client       string   `json:"customer"`
		Rate         float64  `json:"rate"`
		Burst        int      `json:"burst"`
		InFlight     int      `json:"in_flight"`
		Priority     int      `json:"urgency"`
		AnswerTime   string   `json:"answer_time"`
		RunLimit     string   `json:"run_limit"`
		Objective    float64  `json:"objective"`
		Services     []string `json:"services"`
		TokenDigests []string `json:"token_digests"`
	}
	jobFile struct {
		Service string     `json:"service"`
		Tasks   []taskFile `json:"tasks"`
	}
	taskFile struct {
		Kind    string `json:"kind"`
		Text    string `json:"text"`
		RunTime string `json:"run_time"`
	}
)

// Size of the job.
const (
	taskCount  = 100
	shortestMs = 50 // milliseconds
	perTaskMs  = 4  // each task runs this much longer than the previous one
)

func demoContract() contractFile {
	return contractFile{
		Client:       clientAccount,
		Rate:         200,
		Burst:        400,
		InFlight:     400,
		Priority:     5,
		AnswerTime:   "10s",
		RunLimit:     "2s",
		Objective:    0.999,
		Services:     []string{service},
		TokenDigests: []string{digest(callerToken)},
	}
}

// demoJob returns the job and the sum of its tasks' run times in milliseconds.
func demoJob() (job jobFile, totalMs int) {
	job.Service = service
	for i := range taskCount {
		ms := shortestMs + i*perTaskMs
		totalMs += ms
		job.Tasks = append(job.Tasks, taskFile{
			Kind:    "lookup",
			Text:    fmt.Sprintf(`{"run":"%dms","echo":"part %d: in stock"}`, ms, i),
			RunTime: fmt.Sprintf("%dms", ms),
		})
	}
	return job, totalMs
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// write writes v as JSON to a file in the demo's directory and returns the path.
func (d *demo) write(name string, v any) (string, error) {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.dir, name)
	return path, os.WriteFile(path, raw, 0o600)
}
