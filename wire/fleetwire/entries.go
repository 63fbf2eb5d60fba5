package fleetwire

import (
	"errors"
	"fmt"
	"net/netip"
)

// EntriesPrefix is the prefix of the keys of live entries in the platform's store. Each
// value is the address at which an entry serves guards and other entries.
const EntriesPrefix = "almondstand/entries/"

// ErrInvalidAddress means that a value is not a valid address of an entry.
var ErrInvalidAddress = errors.New("fleetwire: invalid entry address")

// EntryAddress parses and validates an entry's address that comes from the store or from
// another process. Other programs may write to these keys too; a value that is not a valid
// host and port must never be dialed.
func EntryAddress(value string) (string, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrInvalidAddress, err)
	}
	if a.Port() == 0 || !a.Addr().IsValid() || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return "", fmt.Errorf("%w: %s", ErrInvalidAddress, a)
	}
	return a.String(), nil
}

// EntryAddresses parses several values. It returns the valid addresses and the malformed
// values.
func EntryAddresses(values []string) (addresses, malformed []string) {
	for _, v := range values {
		if a, err := EntryAddress(v); err == nil {
			addresses = append(addresses, a)
		} else {
			malformed = append(malformed, v)
		}
	}
	return addresses, malformed
}
