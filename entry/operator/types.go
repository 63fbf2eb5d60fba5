package operator

import (
	"time"

	"almondstand.dev/contract"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/telemetry"
)

// Code identifies a kind of failure. Codes are part of the operators' API and do
// not change between releases.
type Code string

// Values of Code.
const (
	CodeUnauthenticated  Code = "unauthenticated"
	CodeNotFound         Code = "not_found"
	CodeInvalidContract  Code = "invalid_contract"
	CodeBadRequest       Code = "bad_request"
	CodeContractTooLarge Code = "too_large"
	// CodePreconditionRequired: the request must state which version it replaces.
	CodePreconditionRequired Code = "precondition_required"
	// CodeConflict: the version in force is not the one to be replaced.
	CodeConflict Code = "conflict"
	// CodeStoreUnavailable: the store is unavailable and nothing was changed; retry
	// later.
	CodeStoreUnavailable Code = "store_down"
	// CodeUnknownOutcome: the change may or may not have been made; read the
	// contract to find out.
	CodeUnknownOutcome Code = "unknown_outcome"
	CodeInternal       Code = "internal"
)

// ErrorBody is the body of every response that is not successful.
type ErrorBody struct {
	Error Error `json:"error"`
	// InForce is the version in force, with CodeConflict; absent if the client has
	// no contract.
	InForce *contracts.Version `json:"winner,omitempty"`
}

// Error describes a failure and what the operator can do about it.
type Error struct {
	Code     Code               `json:"code"`
	Message  string             `json:"message"`
	Problems []contract.Problem `json:"problems,omitempty"`
}

// ContractList is the response of GET /v1/contracts.
type ContractList struct {
	Entry     string              `json:"entry"`
	Contracts []contracts.Version `json:"contracts"`
}

// History is the response of GET /v1/contracts/{customer}/history, with the version
// in force first.
type History struct {
	Client   string              `json:"customer"`
	Versions []contracts.Version `json:"versions"`
}

// ChangeResult is the response to an accepted change.
type ChangeResult struct {
	Client   string `json:"customer"`
	Revision int64  `json:"revision"`
	// Unchanged is true if a contract with the same content was already in force.
	Unchanged bool `json:"unchanged,omitempty"`
	// Superseded is true if another change has already replaced this one.
	Superseded bool `json:"superseded,omitempty"`
}

// Entries is the response of GET /v1/entries.
type Entries struct {
	// Entry is the id of the responding entry.
	Entry string `json:"entry"`
	// Entries lists the live entries, including the responding one.
	Entries []Entry `json:"entries"`
}

// Entry describes a live entry.
type Entry struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"zone"`
	// Internal and Operators are addresses in the form IP:port.
	Internal  string `json:"internal"`
	Operators string `json:"operators"`
	Draining  bool   `json:"draining"`
}

// Endpoints is the response of GET /v1/endpoints.
type Endpoints struct {
	Entry     string     `json:"entry"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint describes an endpoint as seen by the responding entry.
type Endpoint struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"zone"`
	Address    string `json:"address"`
	// Bare is true for a runner without a guard.
	Bare     bool `json:"bare"`
	Slots    int  `json:"slots"`
	Draining bool `json:"leaving"`
	// Usable is false while this entry starts no tasks there.
	Usable bool `json:"usable"`
	// InFlight is the number of tasks that this entry has in flight there.
	InFlight int `json:"open"`
}

// Control is the response of GET /v1/control: the resource usage of the process
// since its start, and its control traffic by kind.
type Control struct {
	Entry      string              `json:"entry"`
	UptimeMs   int64               `json:"uptime_ms"`
	CPUMs      int64               `json:"cpu_ms"`
	RSSBytes   int64               `json:"rss_bytes"`
	Goroutines int                 `json:"goroutines"`
	Traffic    []telemetry.Traffic `json:"traffic"`
}

// Uptime is the time since the process started.
func (c Control) Uptime() time.Duration { return time.Duration(c.UptimeMs) * time.Millisecond }
