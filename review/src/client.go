package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// client is one client of the platform. It keeps its connection to its node, as HTTP/1.1 clients do.
type client struct {
	rec  *record
	name string
	http *http.Client
	node *node
}

func newClient(rec *record, name string, n *node) *client {
	return &client{rec: rec, name: name, node: n, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1,
	}}}
}

// step is a step of a job.
type step struct {
	Count int    `json:"count"`
	CPU   int64  `json:"cpu"`
	Mem   int64  `json:"mem_mb"`
	Est   int    `json:"est_runtime_ms"`
	Label string `json:"required_label,omitempty"`
	After []int  `json:"after,omitempty"`
	Max   int    `json:"max_per_server,omitempty"`
}

// reply is the answer to a request; status 0 if there was none.
type reply struct {
	status         int
	state, text    string
	sent, answered time.Duration
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// post hands in a job that needn't be kept and waits for its answer until the deadline.
func (c *client) post(host, prefix, id string, taskMs int, deadline time.Duration, steps ...step) reply {
	text, _ := json.Marshal(spec{Ms: taskMs})
	body, _ := json.Marshal(map[string]any{"task_spec": string(text), "steps": steps, "best_effort": true})
	req, err := http.NewRequest(http.MethodPost, "http://"+c.node.front+prefix+id, bytes.NewReader(body))
	must(err)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Almondstand-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	a := reply{sent: c.rec.add("client %s sends POST %s%s to %s, deadline %v: %s", c.name, prefix, id, c.node.id, deadline, body)}
	c.http.Timeout = deadline
	res, err := c.http.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			a.status, a.text = res.StatusCode, string(raw)
			var s struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(raw, &s)
			a.state = s.State
		}
	}
	if err != nil {
		a.text = fmt.Sprint(err)
	}
	a.answered = c.rec.add("client %s: POST %s%s: status %d %s (0: no answer)", c.name, prefix, id, a.status, a.text)
	return a
}
