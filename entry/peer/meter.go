package peer

import (
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"almondstand.dev/telemetry"
)

// callOverhead is what one call costs on the wire beside its two messages, in each
// direction, in bytes: HTTP/2 frame headers and compressed header fields, as measured
// with a relay between four entries.
const callOverhead = 36

// Kinds of control traffic. Forwarded requests are callers' traffic and are counted
// separately.
const (
	kindExchange = "exchange"
	kindFetch    = "fetch_contracts"
	kindGuards   = "fetch_guards"
)

// meter counts the traffic between entries.
type meter struct {
	exchange, fetch, guards                *telemetry.Kind
	failed, forwards, forwardsLost         tally.Counter
	peers, live, storeAge                  tally.Gauge
	contractsFetched, contractsFetchedNone tally.Counter
}

func newMeter(o Options) meter {
	return meter{
		exchange:             o.Control.Kind(kindExchange),
		fetch:                o.Control.Kind(kindFetch),
		guards:               o.Control.Kind(kindGuards),
		failed:               o.Scope.Counter("peer_exchanges_failed"),
		forwards:             o.Scope.Counter("peer_forwards"),
		forwardsLost:         o.Scope.Counter("peer_forwards_lost"),
		peers:                o.Scope.Gauge("peers_known"),
		live:                 o.Scope.Gauge("peers_live"),
		storeAge:             o.Scope.Gauge("peer_store_age_seconds"),
		contractsFetched:     o.Scope.Counter("peer_contracts_fetched"),
		contractsFetchedNone: o.Scope.Counter("peer_contracts_fetched_none"),
	}
}

// count adds one call with the message sent and the message received; either may be nil.
func count(k *telemetry.Kind, sent, received proto.Message) {
	k.Call(wireSize(sent), wireSize(received))
}

func wireSize(m proto.Message) int64 {
	if m == nil || !m.ProtoReflect().IsValid() {
		return 0
	}
	return int64(proto.Size(m) + callOverhead)
}
