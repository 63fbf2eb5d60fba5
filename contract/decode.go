package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

// MaxSize is the maximum size of a contract's JSON in bytes.
const MaxSize = 64 << 10

// Decode decodes a contract strictly: it rejects unknown, repeated and missing fields,
// wrong types, values out of range and data after the JSON object. The error is an
// *Invalid that lists every problem.
func Decode(text []byte) (Contract, error) {
	var p problems
	fields := splitFields(text, &p)
	if p.err() != nil && fields == nil {
		return Contract{}, p.err()
	}
	c := Contract{
		State:     DefaultState,
		Priority:  DefaultPriority,
		RunLimit:  DefaultRunLimit,
		Objective: DefaultObjective,
	}
	c.setFields(fields, &p)
	c.check(&p)
	if err := p.err(); err != nil {
		return Contract{}, err
	}
	return c, nil
}

// splitFields returns the fields of the JSON object in text, or nil if text is not a JSON
// object.
func splitFields(text []byte, p *problems) map[string]json.RawMessage {
	const allowed = "one JSON object in UTF-8"
	if len(text) > MaxSize {
		p.add("", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxSize))
		return nil
	}
	// The JSON decoder replaces invalid UTF-8, so the contract that was checked would
	// differ from the text.
	if !utf8.Valid(text) {
		p.add("", "bytes that are not UTF-8", allowed)
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		p.add("", fmt.Sprintf("%q", text), allowed)
		return nil
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		name, raw, err := nextField(dec)
		if err != nil {
			p.add("", err.Error(), allowed)
			return nil
		}
		if _, duplicate := fields[name]; duplicate {
			p.add(name, "the field twice", "each field once")
		}
		fields[name] = raw
	}
	if _, err := dec.Token(); err != nil {
		p.add("", err.Error(), allowed)
		return nil
	}
	if _, err := dec.Token(); err != io.EOF {
		p.add("", "text after the object", allowed)
		return nil
	}
	return fields
}

func nextField(dec *json.Decoder) (string, json.RawMessage, error) {
	key, err := dec.Token()
	if err != nil {
		return "", nil, err
	}
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return "", nil, err
	}
	return key.(string), raw, nil
}

// fieldNames lists the known fields in the order of their declaration in Contract.
var fieldNames = []string{
	"customer", "state", "rate", "burst", "in_flight", "urgency", "answer_time",
	"run_limit", "objective", "services", "token_digests", "change",
}

func (c *Contract) setFields(fields map[string]json.RawMessage, p *problems) {
	for _, name := range sortedKeys(fields) {
		if !slices.Contains(fieldNames, name) {
			p.add(name, "an unknown field", strings.Join(fieldNames, ", "))
		}
	}
	r := fieldReader{fields: fields, problems: p}
	read(r, "customer", &c.Client, required, allowName)
	read(r, "state", &c.State, optional, allowState)
	read(r, "rate", &c.Rate, required, allowRate)
	read(r, "burst", &c.Burst, required, allowBurst)
	read(r, "in_flight", &c.InFlight, required, allowInFlight)
	read(r, "urgency", &c.Priority, optional, allowPriority)
	read(r, "answer_time", &c.AnswerTime, required, allowAnswer)
	read(r, "run_limit", &c.RunLimit, optional, allowRunLimit)
	read(r, "objective", &c.Objective, optional, allowObjective)
	read(r, "services", &c.Services, required, allowServices)
	read(r, "token_digests", &c.TokenDigests, optional, allowTokens)
	read(r, "change", &c.ChangeID, optional, allowChange)
}

func sortedKeys(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type presence bool

const (
	required presence = true
	optional presence = false
)

type fieldReader struct {
	fields   map[string]json.RawMessage
	problems *problems
}

func read[T any](r fieldReader, name string, target *T, need presence, allowed string) {
	raw, present := r.fields[name]
	if !present {
		if need == required {
			r.problems.add(name, "nothing", allowed)
		}
		return
	}
	// Unmarshalling null would leave the field unchanged, and a null element of a list
	// would become an empty name: neither is what the operator wrote.
	if hasNull(raw) {
		r.problems.add(name, string(raw), allowed)
		return
	}
	if err := json.Unmarshal(raw, target); err != nil {
		r.problems.add(name, string(raw), allowed)
	}
}

func hasNull(raw json.RawMessage) bool {
	if string(raw) == "null" {
		return true
	}
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		return false
	}
	return slices.ContainsFunc(elements, func(e json.RawMessage) bool { return string(e) == "null" })
}
