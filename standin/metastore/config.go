package metastore

import (
	"encoding/json"
	"fmt"
)

// ConfigKey is the key of the operator's configuration.
const ConfigKey = "op/config"

// CordonKey returns the key that cordons a data centre while it exists.
func CordonKey(dataCentre string) string { return "op/evacuate/" + dataCentre }

// Config returns a configuration, as JSON, with one route per prefix. All routes have the
// given HTTP host and service.
func Config(version int, host, service string, prefixes ...string) []byte {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": host, "prefix": p, "type": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "service": service, "max_attempts": 2, "stretch": 1.6,
		})
	}
	config, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{}, "limits": map[string]int{"max_body_bytes": 65536}})
	return config
}
