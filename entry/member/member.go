// Package member tracks the membership of the entries: which are live, silent or gone. Entries
// register with a lease in the platform's store, learn about each other in peer exchanges, and
// keep what they know of each other while the store is down.
package member

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"almondstand.dev/wire/wirev1"
)

// Prefix is the prefix of the keys under which entries register; the id follows.
const Prefix = "entries/"

// ErrSuperseded means that a newer incarnation of this entry's id is known and that this process
// must exit.
var ErrSuperseded = eris.New("member: a newer incarnation of this entry is registered")

// ErrBadInfo means that a registration could not be decoded.
var ErrBadInfo = eris.New("member: unreadable registration")

// Status is the state of one incarnation of an entry as far as this entry knows.
type Status int

// Values of Status.
const (
	// Silent means that the entry is unreachable now and not known to be gone; its jobs may be
	// running.
	Silent Status = iota
	// Live means that the entry responded recently, or that it is registered in the store and no
	// call to it has failed since.
	Live
	// Gone means that the entry was replaced by a newer incarnation, has left, or that its lease
	// expired long ago and no entry has had contact with it since. Its jobs are lost with an
	// unknown outcome.
	Gone
)

// String returns the name used in logs.
func (s Status) String() string {
	switch s {
	case Live:
		return "live"
	case Gone:
		return "gone"
	default:
		return "silent"
	}
}

// Info is an entry's registration, stored as JSON.
type Info struct {
	ID string `json:"id"`
	// Incarnation is the start time of the process, wall clock in nanoseconds.
	Incarnation uint64 `json:"incarnation"`
	// Address is the IP address and port of the internal interface.
	Address string `json:"address"`
	// Operators is the IP address and port of the operators' interface; empty if unknown.
	Operators  string `json:"operators,omitempty"`
	DataCentre string `json:"zone"`
	Draining   bool   `json:"draining,omitempty"`
	// Left is set in the entry's last update: it has ended every job and holds no share.
	Left bool `json:"left,omitempty"`
}

// Encode returns the value to store.
func (i Info) Encode() ([]byte, error) { return json.Marshal(i) }

// Decode reads a stored registration.
func Decode(value []byte) (Info, error) {
	var i Info
	if err := json.Unmarshal(value, &i); err != nil {
		return Info{}, eris.Wrap(ErrBadInfo, err.Error())
	}
	if i.ID == "" || i.Incarnation == 0 || i.Address == "" {
		return Info{}, eris.Wrap(ErrBadInfo, "id, incarnation or address missing")
	}
	return i, nil
}

// Wire returns the message form used in peer exchanges.
func (i Info) Wire() *wirev1.EntryInfo {
	return &wirev1.EntryInfo{
		Id: i.ID, Incarnation: i.Incarnation, Address: i.Address, Zone: i.DataCentre,
		Draining: i.Draining, Left: i.Left, Operators: i.Operators,
	}
}

// FromWire converts the message form used in peer exchanges. ok is false if it does not identify a
// process that could be called.
func FromWire(e *wirev1.EntryInfo) (Info, bool) {
	i := Info{
		ID: e.GetId(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(), DataCentre: e.GetZone(),
		Draining: e.GetDraining(), Left: e.GetLeft(), Operators: e.GetOperators(),
	}
	return i, i.ID != "" && i.Incarnation != 0 && i.Address != ""
}

// Elapsed returns the time from then to now by whichever clock advanced more. The monotonic clock
// stops while a virtual machine is suspended, so a lease would seem valid after a pause of hours.
// The wall clock includes the pause; a step of the wall clock only makes this entry renew early.
func Elapsed(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
