package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"almondstand.dev/settings"
)

const maxBody = 1 << 16 // bytes

// Switches is the JSON form of State. An absent mode means "pass".
type Switches struct {
	ToTarget Mode              `json:"to_target"`
	ToClient Mode              `json:"to_client"`
	Delay    settings.Duration `json:"delay"`
	Refuse   bool              `json:"refuse"`
}

// Directions selects the directions in which open connections are blackholed.
type Directions struct {
	ToTarget bool `json:"to_target"`
	ToClient bool `json:"to_client"`
}

// Affected is the number of connections that a call affected.
type Affected struct {
	Connections int `json:"connections"`
}

// Handler returns the handler of the relay's switches: GET and PUT /standin/switches,
// POST /standin/forget and POST /standin/reset.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/switches", r.serveState)
	mux.HandleFunc("PUT /standin/switches", r.serveSet)
	mux.HandleFunc("POST /standin/forget", r.serveForget)
	mux.HandleFunc("POST /standin/reset", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Affected{Connections: r.Reset()})
	})
	return mux
}

func (r *Relay) serveState(w http.ResponseWriter, _ *http.Request) {
	s := r.State()
	writeJSON(w, Switches{ToTarget: s.ToTarget, ToClient: s.ToClient, Delay: settings.Duration(s.Delay), Refuse: s.Refuse})
}

func (r *Relay) serveSet(w http.ResponseWriter, req *http.Request) {
	s := Switches{ToTarget: Pass, ToClient: Pass}
	if !readJSON(w, req, &s) {
		return
	}
	err := r.Set(State{ToTarget: s.ToTarget, ToClient: s.ToClient, Delay: s.Delay.Std(), Refuse: s.Refuse})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Relay) serveForget(w http.ResponseWriter, req *http.Request) {
	var d Directions
	if !readJSON(w, req, &d) {
		return
	}
	writeJSON(w, Affected{Connections: r.Blackhole(d.ToTarget, d.ToClient)})
}

func readJSON(w http.ResponseWriter, req *http.Request, target any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if err == nil {
		err = settings.Decode(raw, target)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
