package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// cpuShare is limits.cpu_share of an edge machine of the small deployments.
const cpuShare = 0.4

// deployment runs the project's programs with the commands and the templates of deploy/, on loopback
// addresses, with the figures of the small deployments.
type deployment struct {
	rec       *record
	root      string // the repository
	dir       string // a temporary folder
	commands  map[string]string
	templates map[string]string
	store     *kv
	storeAt   string
	entryPort int
	entries   []*node
	guards    []*node
	runners   []*runner
	nextHost  int
}

// node is one machine of the system.
type node struct {
	id, ip, front, ready, control string
	role                          string
	settings                      string
	cmd                           *exec.Cmd
	done                          chan struct{}
	d                             *deployment
}

func newDeployment(rec *record, root string) *deployment {
	dir, err := os.MkdirTemp("", "almond-review")
	must(err)
	d := &deployment{rec: rec, root: root, dir: dir, commands: map[string]string{}, templates: map[string]string{}, nextHost: 1}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	must(err)
	for _, m := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s+run = "([^"]+)".*?template = "([^"]+)"`).FindAllStringSubmatch(string(deploy), -1) {
		text, err := os.ReadFile(filepath.Join(root, m[3]))
		must(err)
		d.commands[m[1]], d.templates[m[1]] = m[2], string(text)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d.storeAt = l.Addr().String()
	d.store = startStore(l)
	return d
}

// host returns a loopback address of its own, so that all entries can have the same port for guards.
func (d *deployment) host() string {
	d.nextHost++
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 10+os.Getpid()/200%200, d.nextHost)
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// prepare chooses the addresses of all machines and writes their settings.
func (d *deployment) prepare(entries, guards int, zones []string) {
	for i := range entries {
		n := &node{d: d, role: "entry", id: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), ip: d.host()}
		n.front, n.ready, n.control = freeAddress(n.ip), freeAddress(n.ip), freeAddress(n.ip)
		d.entries = append(d.entries, n)
	}
	if entries > 0 {
		_, port, _ := net.SplitHostPort(freeAddress(d.entries[0].ip))
		_, _ = fmt.Sscan(port, &d.entryPort)
	}
	for i := range guards {
		n := &node{d: d, role: "guard", id: fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i+1), ip: d.host()}
		n.control = freeAddress(n.ip)
		d.guards = append(d.guards, n)
	}
	for i, n := range append(append([]*node{}, d.entries...), d.guards...) {
		zone := strings.Split(n.id, "-")[1]
		_ = i
		n.settings = filepath.Join(d.dir, n.id+".json")
		must(os.WriteFile(n.settings, []byte(d.render(n, zone)), 0o600))
	}
}

// render fills in the template of a role as DEPLOY.md says.
func (d *deployment) render(n *node, zone string) string {
	var seeds []string
	for i, e := range d.entries {
		if i < 3 {
			seeds = append(seeds, quote(e.control))
		}
	}
	cpu := fmt.Sprint(cpuShare)
	text := d.templates[n.role]
	text = regexp.MustCompile(`\{\{#seeds\}\}.*?\{\{/seeds\}\}`).ReplaceAllLiteralString(text, strings.Join(seeds, ","))
	for name, value := range map[string]string{
		"node_name|json": quote(n.id), "zone|json": quote(zone), "listen_addrs.front|json": quote(n.front),
		"listen_addrs.ready|json": quote(n.ready), "listen_addrs.control|json": quote(n.control), "ip": n.ip,
		"port_range.0": fmt.Sprint(d.entryPort), "platform.address|json": quote(d.storeAt), "bounds.grace_s": "6",
		"bounds.resend_ms": "1300", "bounds.max_hold_ms": "1000", "limits.cpu_share": cpu,
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		panic("a placeholder is left: " + text)
	}
	return text
}

func quote(s string) string { raw, _ := json.Marshal(s); return string(raw) }

// start starts the node's process with the command of the deploy file.
func (n *node) start() {
	words := strings.Fields(n.d.commands[n.role])
	for i, w := range words {
		if w == "/etc/almondstand/node.yaml" {
			words[i] = n.settings
		}
	}
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(filepath.Join(n.d.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.d.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDSTAND_BOOT=" + n.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	n.cmd, n.done = cmd, make(chan struct{})
	done := n.done
	n.d.rec.add("%s starts: %s", n.id, n.d.commands[n.role])
	go func() {
		err := cmd.Wait()
		n.d.rec.add("%s has ended: %v", n.id, err)
		close(done)
	}()
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// addRunner adds the runner of a guard's machine.
func (d *deployment) addRunner(guard int, service string, cpu int64, labels ...string) *runner {
	g := d.guards[guard]
	r := &runner{rec: d.rec, name: "m-" + g.id, service: service, zone: strings.Split(g.id, "-")[1], control: g.control, address: freeAddress(g.ip), cpu: cpu}
	d.runners = append(d.runners, r)
	r.begin(labels...)
	return r
}

func (d *deployment) isReady(n *node) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	res, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all entries answer the platform's readiness check.
func (d *deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range d.entries {
			all = all && d.isReady(n)
		}
		if all {
			return true
		}
	}
	return false
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, n := range append(append([]*node{}, d.entries...), d.guards...) {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.done
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// route is a route of the operator's configuration.
func route(name, host, prefix, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": "non_idempotent", "timeout_ms": 1500,
		"target_latency_ms": 60, "priority": priority, "service": service, "max_attempts": 2, "stretch": 1.6,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": false}
}

// configure writes a version of the configuration and returns when it was acknowledged.
func (d *deployment) configure(version int, routes, services []map[string]any) time.Duration {
	d.store.operatorPut("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return d.rec.add("operator: version %d is acknowledged: %v", version, routes)
}
