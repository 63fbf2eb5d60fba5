package fleet

import (
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"almondstand.dev/entry/task"
	"almondstand.dev/telemetry"
)

// messageKind is the value of the message counters' kind tag.
type messageKind string

const (
	kindStart    messageKind = "start"
	kindReply    messageKind = "reply"
	kindResolve  messageKind = "resolve"
	kindCancel   messageKind = "cancel"
	kindPing     messageKind = "ping"
	kindHello    messageKind = "hello"
	kindAnnounce messageKind = "announce"
)

// controlKinds are the calls that carry no task. Announcements are counted where they
// are served.
var controlKinds = []messageKind{kindResolve, kindCancel, kindPing, kindHello}

var messageKinds = []messageKind{
	kindStart, kindReply, kindResolve, kindCancel, kindPing, kindHello, kindAnnounce,
}

// The cost of one call on the wire in addition to its two messages, in bytes: HTTP/2
// frame headers and compressed header fields, measured with 100 pings over one
// connection (28 and 23), the deadline's header, and the date header, which changes
// every second and so is never in the compression table. TCP overhead is not included.
const (
	requestOverhead = 36
	answerOverhead  = 39
	callOverhead    = requestOverhead + answerOverhead
)

var outcomeCodes = []task.Code{
	"", task.CodeRefused, task.CodeFailed, task.CodeTruncated, task.CodeRunLimit,
	task.CodeCancelled, task.CodeLost, task.CodeDeadline,
}

// meter counts messages and outcomes. It creates its counters once: looking one up
// during a request would cost a lock and a map access.
type meter struct {
	messages        map[messageKind]tally.Counter
	controls        map[messageKind]*telemetry.Kind
	outcomes        map[task.Code]tally.Counter
	outcomesUnknown tally.Counter
	repliesDropped  tally.Counter
	linksReplaced   tally.Counter
	guards          tally.Gauge
	bare            tally.Gauge
}

func newMeter(scope tally.Scope, control *telemetry.ControlTraffic) *meter {
	m := &meter{
		messages:        map[messageKind]tally.Counter{},
		controls:        map[messageKind]*telemetry.Kind{},
		outcomes:        map[task.Code]tally.Counter{},
		outcomesUnknown: scope.Counter("outcomes_unknown"),
		repliesDropped:  scope.Counter("replies_dropped"),
		linksReplaced:   scope.Counter("links_replaced"),
		guards:          scope.Gauge("guards"),
		bare:            scope.Gauge("bare_endpoints"),
	}
	for _, k := range messageKinds {
		m.messages[k] = scope.Tagged(map[string]string{"kind": string(k)}).Counter("messages")
	}
	for _, k := range controlKinds {
		m.controls[k] = control.Kind(string(k))
	}
	for _, c := range outcomeCodes {
		name := string(c)
		if name == "" {
			name = "completed"
		}
		m.outcomes[c] = scope.Tagged(map[string]string{"code": name}).Counter("outcomes")
	}
	return m
}

func (m *meter) count(k messageKind) { m.messages[k].Inc(1) }

// control counts one control call and its response; resp is nil if there was none.
func (m *meter) control(k messageKind, req, resp proto.Message) {
	m.messages[k].Inc(1)
	sent := int64(proto.Size(req) + requestOverhead)
	received := int64(0)
	if resp != nil {
		received = int64(proto.Size(resp) + answerOverhead)
	}
	m.controls[k].Call(sent, received)
}

func (m *meter) outcome(o task.Outcome) {
	if c, known := m.outcomes[o.Code]; known {
		c.Inc(1)
	}
	if o.Ran == task.RanUnknown {
		m.outcomesUnknown.Inc(1)
	}
}
