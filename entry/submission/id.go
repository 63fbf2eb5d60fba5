// Package submission identifies submissions and keeps their owner's state. The id of a
// submission contains the entry that minted it; that entry alone decides whether the id
// was used, so entries need no agreement.
package submission

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
)

const (
	// MaxEntryID is the maximum length of an entry's id, in bytes.
	MaxEntryID = 64
	// MaxText is the maximum length of an id's text form, in bytes.
	MaxText = MaxEntryID + 64

	macSize    = 16
	numberBase = 36
	separator  = "."
)

// ErrMalformed means that a text is not the text form of an id.
var ErrMalformed = errors.New("malformed submission id")

// ID identifies a submission. Its text form is URL-safe and reads
// entry.incarnation.sequence.mac; both numbers are in base 36.
type ID struct {
	// Entry and Incarnation identify the process that minted the id and owns it.
	Entry       string
	Incarnation uint64
	// Sequence counts the ids minted for one client, from 1.
	Sequence uint64
	// MAC authenticates the other fields and the client.
	MAC [macSize]byte
}

// String returns the text form.
func (id ID) String() string {
	var b strings.Builder
	b.Grow(MaxText)
	b.WriteString(id.Entry)
	b.WriteString(separator)
	b.WriteString(strconv.FormatUint(id.Incarnation, numberBase))
	b.WriteString(separator)
	b.WriteString(strconv.FormatUint(id.Sequence, numberBase))
	b.WriteString(separator)
	b.WriteString(base64.RawURLEncoding.EncodeToString(id.MAC[:]))
	return b.String()
}

// Parse parses the text form. It needs no key, so any entry can determine the owner;
// only the owner can Verify. Each id has exactly one text form and any other is
// malformed, because two spellings of one id would be treated as two jobs.
func Parse(text string) (ID, error) {
	if len(text) > MaxText {
		return ID{}, ErrMalformed
	}
	rest, mac, ok := cutLast(text)
	if !ok {
		return ID{}, ErrMalformed
	}
	rest, sequence, ok := cutLast(rest)
	if !ok {
		return ID{}, ErrMalformed
	}
	entry, incarnation, ok := cutLast(rest)
	if !ok || !ValidEntryID(entry) {
		return ID{}, ErrMalformed
	}
	id := ID{Entry: entry}
	if !id.setNumbers(incarnation, sequence) || !id.setMAC(mac) {
		return ID{}, ErrMalformed
	}
	if id.String() != text {
		return ID{}, ErrMalformed
	}
	return id, nil
}

func (id *ID) setNumbers(incarnation, sequence string) bool {
	var err error
	id.Incarnation, err = strconv.ParseUint(incarnation, numberBase, 64)
	if err != nil {
		return false
	}
	id.Sequence, err = strconv.ParseUint(sequence, numberBase, 64)
	return err == nil
}

func (id *ID) setMAC(text string) bool {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != macSize {
		return false
	}
	copy(id.MAC[:], raw)
	return true
}

func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+len(separator):], true
}

// ValidEntryID reports whether the string is a valid entry id: 1 to MaxEntryID letters,
// digits, dots, dashes and underscores.
func ValidEntryID(entry string) bool {
	if entry == "" || len(entry) > MaxEntryID {
		return false
	}
	for _, c := range []byte(entry) {
		if !isEntryByte(c) {
			return false
		}
	}
	return true
}

func isEntryByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '.' || c == '-' || c == '_'
}

// Key is the secret MAC key of one incarnation of an entry.
type Key [32]byte

// NewKey returns a random key. It exists only as long as the process: ids of another
// incarnation can't be verified, and need not be.
func NewKey() Key {
	var k Key
	_, _ = rand.Read(k[:]) // never fails, see crypto/rand
	return k
}

func (k Key) mac(id ID, client string) [macSize]byte {
	h := hmac.New(sha256.New, k[:])
	var b [8]byte
	writeField := func(s string) {
		binary.BigEndian.PutUint64(b[:], uint64(len(s)))
		h.Write(b[:])
		h.Write([]byte(s))
	}
	writeField(id.Entry)
	writeField(client)
	binary.BigEndian.PutUint64(b[:], id.Incarnation)
	h.Write(b[:])
	binary.BigEndian.PutUint64(b[:], id.Sequence)
	h.Write(b[:])
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return [macSize]byte(sum[:macSize])
}

// verify compares the MAC in constant time.
func (k Key) verify(id ID, client string) bool {
	want := k.mac(id, client)
	return hmac.Equal(want[:], id.MAC[:])
}
