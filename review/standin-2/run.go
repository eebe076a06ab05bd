package main

// This file starts and ends the processes of a case and writes its record.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	platformProgram = "target/platform"
	host            = "shop.example"
	apiKey          = "n2ctnfzs989anu6wsjnb"
	tenant          = "hule930"
	serversLog      = "servers.log"
	// The bounds are those of crtra-exchange.
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
)

// The results of a case.
const (
	resultHeld   = 0
	resultBroken = 1
	resultCannot = 2
	startTimeout = 20 * time.Second
	graceTime    = 8 * time.Second
)

// deployment is a running case.
type deployment struct {
	dir     string
	trouble bool
	begun   time.Time
	store   *store
	address string
	// network holds the first three numbers of the loopback addresses, machines counts those in use.
	network  string
	machines int
	entries  []*entry
	workers  map[string]*workerProcess

	mu     sync.Mutex
	record []string
	ending bool
}

type entry struct {
	name, ip, front, ready, control string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

type workerProcess struct {
	config workerConfig
	cmd    *exec.Cmd
	stdin  *os.File
	exited chan struct{}
}

// timeFormat is that of the times in the record, which begin each line.
const timeFormat = "2006-01-02T15:04:05.000"

func stampTime(t time.Time) string { return t.Format(timeFormat) }

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	line := stampTime(time.Now()) + " " + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record = append(d.record, line)
}

// newIP returns a loopback address of its own for a machine: the ports are the same on all of them,
// and two cases at the same time do not meet.
func (d *deployment) newIP() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machines++
	return fmt.Sprintf("%s.%d", d.network, d.machines)
}

// The ports of the machines.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	metricsPort = 9464
	serverPort  = 8080
	storePort   = 8223
)

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// pickNetwork returns the first three numbers of loopback addresses that are free.
func pickNetwork() (string, error) {
	for range 20 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", at(network+".1", storePort))
		if err == nil {
			return network, l.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

func newDeployment(trouble bool) (*deployment, error) {
	if _, err := os.Stat(platformProgram); err != nil {
		return nil, fmt.Errorf("%s is missing: run the build of deploy/system.toml at the repository's root", platformProgram)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, trouble: trouble, store: newStore(3 * heartbeat), workers: make(map[string]*workerProcess)}
	if d.network, err = pickNetwork(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", at(d.newIP(), storePort))
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: d.store}).Serve(l) }() // ends with the process
	return d, nil
}

// configure writes the operator's configuration.
func (d *deployment) configure(c map[string]any) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	d.store.put("op/config", body)
	return nil
}

const settingsText = `node_name = %q
ip = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
zone = %q
region = "pnw"
internal_ports = [7340,7355]
seed_nodes = [%s]
first_start = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
pnw-a = "pnw"
pnw-b = "pnw"
pnw-c = "pnw"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
max_stretch_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 196
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 2000
fencing_required = false
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// startEntries starts n entries, one in each zone in turn.
func (d *deployment) startEntries(n int) error {
	var seeds []string
	for i := range n {
		e := &entry{name: fmt.Sprintf("front-%d", i+1), ip: d.newIP(), exited: make(chan struct{})}
		e.front, e.ready, e.control = at(e.ip, frontPort), at(e.ip, readyPort), at(e.ip, controlPort)
		seeds = append(seeds, fmt.Sprintf("%q", e.control))
		d.entries = append(d.entries, e)
	}
	for i, e := range d.entries {
		file := filepath.Join(d.dir, e.name+".toml")
		text := fmt.Sprintf(settingsText, e.name, e.ip, []string{"pnw-a", "pnw-b", "pnw-c"}[i%3], strings.Join(seeds, ","), e.front, e.ready, e.control, d.address)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(d.dir, e.name+".log"))
		if err != nil {
			return err
		}
		e.cmd = exec.Command(platformProgram, "-metrics", strconv.Itoa(metricsPort))
		e.cmd.Env = append(os.Environ(), "SAVORYCART_CONFIG="+file)
		e.cmd.Stdout, e.cmd.Stderr = out, out
		// main is locked to its thread, so the signal comes when this process ends.
		e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := e.cmd.Start(); err != nil {
			return err
		}
		d.note("entry %s started", e.name)
		go func() {
			_ = e.cmd.Wait()
			d.note("entry %s ended: %s", e.name, e.cmd.ProcessState)
			close(e.exited)
		}()
	}
	return nil
}

// awaitReady waits until all entries answer their readiness checks with 200.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			resp, err := http.Get("http://" + e.ready + "/api/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.entries) {
			return nil
		}
	}
	return errors.New("the entries are not ready")
}

// startWorker starts a server, also one that has ended.
func (d *deployment) startWorker(c workerConfig) error {
	if c.Address == "" {
		c.Address = at(d.newIP(), serverPort)
	}
	c.Store, c.Log, c.Flags, c.Heartbeat = d.address, filepath.Join(d.dir, serversLog), d.dir, heartbeat
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r, stdin, err := os.Pipe()
	if err != nil {
		return err
	}
	p := &workerProcess{config: c, stdin: stdin, exited: make(chan struct{})}
	p.cmd = exec.Command(self, "worker")
	p.cmd.Env = append(os.Environ(), workerVariable+"="+string(text))
	p.cmd.Stdin, p.cmd.Stderr = r, os.Stderr
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		_, _ = stdin.Close(), r.Close()
		return nil
	}
	err = p.cmd.Start()
	_ = r.Close()
	if err != nil {
		_ = stdin.Close()
		return err
	}
	d.workers[c.ID] = p
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
		if c.Restart > 0 {
			d.restart(c)
		}
	}()
	return nil
}

// restart starts a server that has ended by itself again, after some seconds and with a new ID.
func (d *deployment) restart(c workerConfig) {
	name, n, _ := strings.Cut(c.ID, ".")
	boot, _ := strconv.Atoi(n)
	time.Sleep(c.Restart)
	c.ID = fmt.Sprintf("%s.%d", name, boot+1)
	if err := d.startWorker(c); err != nil {
		d.note("server %s not started: %v", c.ID, err)
	}
}

// setFlag switches a fault on for the named servers, or for all.
func (d *deployment) setFlag(name string, servers ...string) {
	d.note("disruption begins: %s %s", name, strings.Join(servers, " "))
	if err := os.WriteFile(filepath.Join(d.dir, name), []byte(strings.Join(servers, " ")), 0o644); err != nil {
		d.note("flag %s not written: %v", name, err)
	}
}

// clearFlag switches a fault off.
func (d *deployment) clearFlag(name string) {
	d.note("disruption ends: %s", name)
	_ = os.Remove(filepath.Join(d.dir, name)) // It may not be set.
}

// serverLine is a line of the log of the servers.
type serverLine struct {
	at            time.Time
	server, event string
	id, text      string
}

// serverLines returns what the servers have logged so far.
func (d *deployment) serverLines() ([]serverLine, error) {
	text, err := os.ReadFile(filepath.Join(d.dir, serversLog))
	if err != nil {
		return nil, err
	}
	var lines []serverLine
	for _, line := range strings.Split(strings.TrimRight(string(text), "\n"), "\n") {
		f := strings.SplitN(line, " ", 6)
		if len(f) < 6 {
			return nil, fmt.Errorf("line %q of the servers", line)
		}
		clock, err := time.Parse(timeFormat, f[0])
		if err != nil {
			return nil, err
		}
		lines = append(lines, serverLine{at: clock, server: f[2], event: f[3], id: f[4], text: f[5]})
	}
	return lines, nil
}

// end ends all processes and returns the lines of the servers.
func (d *deployment) end() []string {
	d.mu.Lock()
	d.ending = true
	workers := d.workers
	d.mu.Unlock()
	for _, e := range d.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, e := range d.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		select {
		case <-e.exited:
		case <-time.After(graceTime):
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, p := range workers {
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = p.stdin.Close()
	}
	text, _ := os.ReadFile(filepath.Join(d.dir, serversLog)) // There is none if no server started.
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
	return strings.Split(strings.TrimRight(string(text), "\n"), "\n")
}

// writeRecord writes the lines of the case and of the servers in the order of their times.
func (d *deployment) writeRecord(file string, servers []string) error {
	d.mu.Lock()
	lines := slices.Concat(d.record, servers)
	d.mu.Unlock()
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(timeOf(a), timeOf(b)) })
	return os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

func timeOf(line string) string {
	t, _, _ := strings.Cut(line, " ")
	return t
}

// noteResult records what a client saw.
func (d *deployment) noteResult(r result) {
	line := fmt.Sprintf("client %s %s %s", r.method, r.path, r.id)
	if r.prompt != "" {
		line += " prompt=" + r.prompt
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	end := "complete"
	if !r.complete {
		end = "incomplete"
	}
	d.record = append(d.record, stampTime(r.sentAt)+" "+line+" sent",
		fmt.Sprintf("%s %s got %d %s, %d bytes, stamp=%q err=%v", stampTime(r.endedAt), line, r.status, end, len(r.body), r.header.Get("Server-Stamp"), r.err))
}

// onSignal ends the case with resultCannot at an interrupt.
func (d *deployment) onSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.end()
		os.Exit(resultCannot)
	}()
}

// load sends requests of a rate, spread over channels to all entries, until a time. next makes the
// n-th request; seen gets each result.
func (d *deployment) load(rate float64, until time.Time, next func(n int) request, seen func(result)) {
	var idleMu sync.Mutex
	idle := make(map[string][]*client)
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if !at.Before(until) {
			break
		}
		time.Sleep(time.Until(at))
		to := d.entries[n%len(d.entries)].front
		wg.Go(func() {
			idleMu.Lock()
			c := &client{to: to}
			if l := idle[to]; len(l) > 0 {
				c, idle[to] = l[len(l)-1], l[:len(l)-1]
			}
			idleMu.Unlock()
			res := c.send(next(n))
			d.noteResult(res)
			seen(res)
			idleMu.Lock()
			idle[to] = append(idle[to], c)
			idleMu.Unlock()
		})
	}
	wg.Wait()
	for _, l := range idle {
		for _, c := range l {
			c.close()
		}
	}
}
