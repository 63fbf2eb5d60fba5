package fleetwire

import (
	"errors"
	"fmt"
	"net/netip"
)

// EntriesPrefix begins the keys in the platform's store that name the live entries. Each
// value is the address at which an entry serves guards and other entries.
const EntriesPrefix = "almondstand/entries/"

// ErrAddress means a value that names no entry's address.
var ErrAddress = errors.New("fleetwire: no address of an entry")

// EntryAddress reads an entry's address, from the store or from another process. Other
// programs may write there too; what names no host and port must reach no dialer.
func EntryAddress(value string) (string, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrAddress, err)
	}
	if a.Port() == 0 || !a.Addr().IsValid() || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return "", fmt.Errorf("%w: %s", ErrAddress, a)
	}
	return a.String(), nil
}

// EntryAddresses reads several, and returns with them what is none of an entry's.
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
