// Package contract defines the contract between an operator and a client account, its
// JSON format and its validation. All limits enforced for a client account follow
// from its contract.
//
// Optional fields and their defaults: state "active", urgency 5, run_limit "10s",
// objective 0.999, token_digests empty. All other fields except change are required.
package contract

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// State determines whether work is accepted under a contract.
type State string

// States of a contract. A contract is retired and never deleted, so that the
// revision of its key never decreases.
const (
	Active  State = "active"
	Retired State = "retired"
)

// Defaults of optional fields.
const (
	DefaultState     = Active
	DefaultPriority  = 5
	DefaultRunLimit  = Duration(10 * time.Second)
	DefaultObjective = 0.999
)

// Duration is a duration that is encoded in JSON as a Go duration string such as "250ms".
type Duration time.Duration

// UnmarshalJSON decodes a Go duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s is not a string", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q has no number and unit", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes a Go duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// String returns the duration in Go's format, such as "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Contract is the contract of one client account.
type Contract struct {
	// Client is the name of the client account. It is part of the key in the store.
	Client string `json:"customer"`
	State  State  `json:"state"`
	// Rate is the sustained rate of task starts bought, per second.
	Rate float64 `json:"rate"`
	// Burst is the number of tasks that may be submitted at once in excess of Rate.
	Burst int `json:"burst"`
	// InFlight is the maximum number of tasks accepted and not yet finished.
	InFlight int `json:"in_flight"`
	// Priority is the weight of this client account relative to others, from 1 to MaxPriority.
	Priority int `json:"urgency"`
	// AnswerTime is the latency target of responses.
	AnswerTime Duration `json:"answer_time"`
	// RunLimit is the maximum run time of a task.
	RunLimit Duration `json:"run_limit"`
	// Objective is the fraction of responses that must arrive within AnswerTime (the SLO).
	// The burn report is computed against it.
	Objective float64 `json:"objective"`
	// Services lists the services that the client account may use.
	Services []string `json:"services"`
	// TokenDigests are the SHA-256 digests, in lower-case hex, of the client account's
	// bearer tokens.
	TokenDigests []string `json:"token_digests"`
	// ChangeID identifies the write of this version. If the response to a write is lost, the
	// writer reads the contract back and recognises its own write by it. Set by the writer.
	ChangeID string `json:"change,omitempty"`
}

// AllowsService reports whether the client account may use the service.
func (c *Contract) AllowsService(name string) bool {
	return slices.Contains(c.Services, name)
}

// Encode returns the canonical JSON: equivalent contracts have identical bytes.
func (c Contract) Encode() ([]byte, error) {
	c.Services = sorted(c.Services)
	c.TokenDigests = sorted(c.TokenDigests)
	return json.Marshal(c)
}

// SameTerms reports whether two contracts are equal apart from the order of their lists and
// ChangeID.
func (c Contract) SameTerms(other Contract) bool {
	c.ChangeID, other.ChangeID = "", ""
	a, errA := c.Encode()
	b, errB := other.Encode()
	return errA == nil && errB == nil && string(a) == string(b)
}

func sorted(in []string) []string {
	out := append([]string{}, in...)
	slices.Sort(out)
	return out
}
