// Package settings decodes and validates JSON settings files. Each error contains the
// path of the field, the value found and the valid values.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Duration is a duration that is encoded in JSON as a Go duration string such as "250ms".
type Duration time.Duration

// UnmarshalJSON decodes a Go duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s: write it as a string with a unit, such as \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: write a number and a unit of ms, s, m or h", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes a Go duration string without trailing zero units: "1m" instead of
// "1m0s".
func (d Duration) MarshalJSON() ([]byte, error) {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return json.Marshal(s)
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Address is an IP address and a port, such as "10.0.0.7:7001".
type Address struct{ netip.AddrPort }

// UnmarshalJSON decodes an "IP:port" string; the empty string means no address.
func (a *Address) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("address %s: write it as \"IP:port\"", b)
	}
	if s == "" {
		a.AddrPort = netip.AddrPort{}
		return nil
	}
	v, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("address %q: write an IP number and a port, such as \"10.0.0.7:7001\"", s)
	}
	a.AddrPort = v
	return nil
}

// MarshalJSON encodes an "IP:port" string, the empty string if there is no address.
func (a Address) MarshalJSON() ([]byte, error) {
	if !a.IsValid() {
		return []byte(`""`), nil
	}
	return json.Marshal(a.String())
}
