package contract

import (
	"fmt"
	"regexp"
	"strconv"
	"time"
)

// Limits of the fields.
const (
	MaxRate       = 1_000_000 // tasks per second
	MaxBurst      = 1_000_000 // tasks
	MaxInFlight   = 1_000_000 // tasks
	MaxPriority   = 10
	MinAnswerTime = Duration(time.Millisecond)
	MaxAnswerTime = Duration(10 * time.Minute)
	MinRunLimit   = Duration(time.Millisecond)
	MaxRunLimit   = Duration(time.Minute)
	MaxServices   = 100
	MaxTokens     = 32
	// MaxChangeID is the maximum length of the change ID in bytes.
	MaxChangeID = 64
)

// NamePattern is the regular expression for the names of client accounts and services.
const NamePattern = "[a-z0-9-]{1,64}"

var (
	namePattern   = regexp.MustCompile("^" + NamePattern + "$")
	digestPattern = regexp.MustCompile("^[0-9a-f]{64}$")
)

const (
	allowName   = "a name of " + NamePattern
	allowDigest = "64 lower-case hex characters, the SHA-256 of a token"
	allowState  = `"active" or "retired"`
)

var (
	allowRate      = fmt.Sprintf("a number above 0 and at most %d, in tasks per second", MaxRate)
	allowBurst     = fmt.Sprintf("a whole number from 1 to %d, in tasks", MaxBurst)
	allowInFlight  = fmt.Sprintf("a whole number from 1 to %d, in tasks", MaxInFlight)
	allowPriority  = fmt.Sprintf("a whole number from 1 to %d", MaxPriority)
	allowAnswer    = fmt.Sprintf(`a duration from "%s" to "%s"`, MinAnswerTime, MaxAnswerTime)
	allowRunLimit  = fmt.Sprintf(`a duration from "%s" to "%s"`, MinRunLimit, MaxRunLimit)
	allowObjective = "a number above 0 and below 1"
	allowServices  = fmt.Sprintf("1 to %d service names", MaxServices)
	allowTokens    = fmt.Sprintf("at most %d digests", MaxTokens)
	allowChange    = fmt.Sprintf("at most %d bytes, set by the writer", MaxChangeID)
)

// Check returns an *Invalid that lists every invalid field, or nil.
func (c *Contract) Check() error {
	var p problems
	c.check(&p)
	return p.err()
}

func (c *Contract) check(p *problems) {
	if !namePattern.MatchString(c.Client) {
		p.add("customer", strconv.Quote(c.Client), allowName)
	}
	if c.State != Active && c.State != Retired {
		p.add("state", strconv.Quote(string(c.State)), allowState)
	}
	c.checkLimits(p)
	c.checkTimes(p)
	checkNames(p, "services", c.Services, namePattern, allowName)
	if len(c.Services) == 0 || len(c.Services) > MaxServices {
		p.add("services", fmt.Sprintf("%d names", len(c.Services)), allowServices)
	}
	checkNames(p, "token_digests", c.TokenDigests, digestPattern, allowDigest)
	if len(c.TokenDigests) > MaxTokens {
		p.add("token_digests", fmt.Sprintf("%d digests", len(c.TokenDigests)), allowTokens)
	}
	if len(c.ChangeID) > MaxChangeID {
		p.add("change", fmt.Sprintf("%d bytes", len(c.ChangeID)), allowChange)
	}
}

func (c *Contract) checkLimits(p *problems) {
	// The comparison is negated so that NaN is rejected too.
	if !(c.Rate > 0 && c.Rate <= MaxRate) {
		p.add("rate", strconv.FormatFloat(c.Rate, 'g', -1, 64), allowRate)
	}
	if c.Burst < 1 || c.Burst > MaxBurst {
		p.add("burst", strconv.Itoa(c.Burst), allowBurst)
	}
	if c.InFlight < 1 || c.InFlight > MaxInFlight {
		p.add("in_flight", strconv.Itoa(c.InFlight), allowInFlight)
	}
	if c.Priority < 1 || c.Priority > MaxPriority {
		p.add("urgency", strconv.Itoa(c.Priority), allowPriority)
	}
	if !(c.Objective > 0 && c.Objective < 1) {
		p.add("objective", strconv.FormatFloat(c.Objective, 'g', -1, 64), allowObjective)
	}
}

func (c *Contract) checkTimes(p *problems) {
	if c.AnswerTime < MinAnswerTime || c.AnswerTime > MaxAnswerTime {
		p.add("answer_time", c.AnswerTime.String(), allowAnswer)
	}
	if c.RunLimit < MinRunLimit || c.RunLimit > MaxRunLimit {
		p.add("run_limit", c.RunLimit.String(), allowRunLimit)
	}
}

func checkNames(p *problems, path string, names []string, form *regexp.Regexp, allowed string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !form.MatchString(name) {
			p.add(at, strconv.Quote(name), allowed)
		}
		if seen[name] {
			p.add(at, strconv.Quote(name), "each entry once")
		}
		seen[name] = true
	}
}
