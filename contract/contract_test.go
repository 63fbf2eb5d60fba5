package contract_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
)

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const valid = `{"customer":"karlovac","rate":25.5,"burst":100,"in_flight":50,
	"answer_time":"2s","services":["teardown","torque"],"token_digests":["` + digest + `"]}`

func TestDecodeFillsDefaults(t *testing.T) {
	c, err := contract.Decode([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, c.State, contract.Active)
	assert.Equal(t, c.Priority, 5)
	assert.Equal(t, c.RunLimit.Std(), 10*time.Second)
	assert.Equal(t, c.Objective, 0.999)
	assert.Equal(t, c.Rate, 25.5)
	assert.Assert(t, c.AllowsService("torque"))
	assert.Assert(t, !c.AllowsService("dispatch"))
}

func TestDecodeReportsEachProblem(t *testing.T) {
	cases := map[string]struct{ old, new, path string }{
		"unknown field":     {`"burst":100`, `"burst":100,"brust":1`, "brust"},
		"other case":        {`"burst":100`, `"burst":100,"Burst":1`, "Burst"},
		"field twice":       {`"burst":100`, `"burst":100,"burst":1`, "burst"},
		"missing":           {`"burst":100,`, ``, "burst"},
		"null":              {`"burst":100`, `"burst":null`, "burst"},
		"wrong type":        {`"burst":100`, `"burst":"100"`, "burst"},
		"fraction":          {`"burst":100`, `"burst":1.5`, "burst"},
		"zero burst":        {`"burst":100`, `"burst":0`, "burst"},
		"large burst":       {`"burst":100`, `"burst":1000001`, "burst"},
		"negative rate":     {`25.5`, `-1`, "rate"},
		"large rate":        {`25.5`, `1e300`, "rate"},
		"no in_flight":      {`"in_flight":50`, `"in_flight":-3`, "in_flight"},
		"urgency":           {`"burst":100`, `"burst":100,"urgency":11`, "urgency"},
		"objective":         {`"burst":100`, `"burst":100,"objective":1`, "objective"},
		"state":             {`"burst":100`, `"burst":100,"state":"paused"`, "state"},
		"name":              {`"karlovac"`, `"Karlovac"`, "customer"},
		"long name":         {`"karlovac"`, `"` + strings.Repeat("k", 65) + `"`, "customer"},
		"name with slash":   {`"karlovac"`, `"a/b"`, "customer"},
		"duration number":   {`"2s"`, `2`, "answer_time"},
		"duration unit":     {`"2s"`, `"2"`, "answer_time"},
		"long answer":       {`"2s"`, `"11m"`, "answer_time"},
		"long run":          {`"burst":100`, `"burst":100,"run_limit":"2m"`, "run_limit"},
		"no services":       {`["teardown","torque"]`, `[]`, "services"},
		"null service":      {`["teardown","torque"]`, `["teardown",null]`, "services"},
		"service name":      {`"torque"`, `"TORQUE"`, "services[1]"},
		"service twice":     {`"torque"`, `"teardown"`, "services[1]"},
		"digest":            {digest, "abc", "token_digests[0]"},
		"upper-case digest": {digest, strings.ToUpper(digest), "token_digests[0]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			assert.Assert(t, text != valid)
			_, err := contract.Decode([]byte(text))
			var invalid *contract.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, len(invalid.Problems), 1, "%v", err)
			assert.Equal(t, invalid.Problems[0].Path, c.path, "%v", err)
			assert.Assert(t, invalid.Problems[0].Found != "" && invalid.Problems[0].Allowed != "")
		})
	}
}

func TestDecodeRejectsNonObjects(t *testing.T) {
	for _, text := range []string{"", "null", "[]", "7", "{", valid + "x", valid + valid, `{"a"}`,
		strings.Repeat("[", 1<<16+1), strings.Replace(valid, "karlovac", "karlo\xffvac", 1)} {
		_, err := contract.Decode([]byte(text))
		var invalid *contract.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%.40q", text)
		assert.Equal(t, invalid.Problems[0].Path, "", "%.40q", text)
	}
}

func TestDecodeListsAllProblemsAtOnce(t *testing.T) {
	_, err := contract.Decode([]byte(`{"customer":"A","rate":0,"unit":"ms"}`))
	var invalid *contract.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	var paths []string
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	assert.DeepEqual(t, paths, []string{"unit", "burst", "in_flight", "answer_time", "services", "customer", "rate"})
}

func TestSameIgnoresOrderAndChange(t *testing.T) {
	a, err := contract.Decode([]byte(valid))
	assert.NilError(t, err)
	b := a
	b.Services = []string{"torque", "teardown"}
	b.ChangeID = "another"
	assert.Assert(t, a.SameTerms(b))
	b.Burst++
	assert.Assert(t, !a.SameTerms(b))
}

// FuzzDecode checks that the decoder never panics, that every error is a non-empty
// *Invalid, and that a contract that decodes is unchanged by encoding and decoding it.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	for _, seed := range []string{`{}`, `{"customer":null}`, `{"rate":1e999}`, `{"services":[[]]}`,
		`{"answer_time":"-1ns"}`, `{"a":1,"a":2}`, "{\"customer\":\"\\u0000\"}", `[{}]`, `{"token_digests":{}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := contract.Decode(text)
		if err != nil {
			var invalid *contract.InvalidError
			assert.Assert(t, errors.As(err, &invalid) && len(invalid.Problems) > 0)
			assert.Assert(t, invalid.Error() != "")
			return
		}
		assert.NilError(t, c.Check())
		encoded, err := c.Encode()
		assert.NilError(t, err)
		decodedAgain, err := contract.Decode(encoded)
		assert.NilError(t, err)
		assert.Assert(t, decodedAgain.SameTerms(c))
		encodedAgain, err := decodedAgain.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(encodedAgain), string(encoded))
		assert.Assert(t, json.Valid(encoded))
	})
}
