package main

// This file starts and ends the processes of a case: the store, the workers and the entries.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are those of an example in the users' pages. Each process has a loopback address
// of its own, so they are free unless another run has the same network.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	storePort   = 8223
	workerPort  = 8080
	metricsPort = 9464
)

// errCannotRun marks a failure of the case itself.
var errCannotRun = errors.New("the case could not run")

// fleet is the small deployment of a case.
type fleet struct {
	root    string // the repository
	tmp     string
	network string // the first three numbers of the loopback addresses
	trouble bool
	began   time.Time

	mu       sync.Mutex
	record   io.Writer
	children map[string]*child
	lines    []string
	ended    bool
}

type child struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newFleet(root, dir string, trouble bool) (*fleet, error) {
	f := &fleet{root: root, trouble: trouble, began: time.Now(), children: make(map[string]*child)}
	var err error
	if f.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	f.record = file
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if f.networkFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback addresses", errCannotRun)
}

func (f *fleet) networkFree() bool {
	addresses := []string{f.storeAddr()}
	for i := range entries {
		for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
			addresses = append(addresses, f.entryAddr(i, port))
		}
	}
	for i := range workers {
		addresses = append(addresses, f.workerAddr(i))
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) storeAddr() string { return fmt.Sprintf("%s.1:%d", f.network, storePort) }
func (f *fleet) entryAddr(i, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, 10+i, port)
}
func (f *fleet) workerAddr(i int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, 100+i, workerPort)
}

// log writes a line of the record.
func (f *fleet) log(format string, args ...any) {
	f.writeLine(time.Since(f.began), fmt.Sprintf(format, args...))
}

func (f *fleet) writeLine(at time.Duration, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", at.Seconds(), text)
	f.lines = append(f.lines, line)
	fmt.Fprintln(f.record, line)
}

// seen returns the lines of the record that contain all words.
func (f *fleet) seen(words ...string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []string
next:
	for _, line := range f.lines {
		for _, w := range words {
			if !strings.Contains(line, w) {
				continue next
			}
		}
		found = append(found, line)
	}
	return found
}

// await waits until cond holds.
func (f *fleet) await(ctx context.Context, what string, cond func() bool) error {
	for !cond() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s: %v", errCannotRun, what, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// start starts a process. Lines of a worker's standard output go to the record, everything
// else to a file in the temporary folder.
func (f *fleet) start(name string, env []string, program string, args ...string) error {
	cmd := exec.Command(program, args...)
	cmd.Dir = f.root
	cmd.Env = append(env, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	// The process ends with this one, whatever ends this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	file, err := os.OpenFile(filepath.Join(f.tmp, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd.Stderr = file
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := startProcess(cmd); err != nil {
		return fmt.Errorf("%w: start %s: %v", errCannotRun, name, err)
	}
	c := &child{cmd: cmd, done: make(chan struct{})}
	f.mu.Lock()
	f.children[name] = c
	if f.ended {
		_ = cmd.Process.Kill() // the case has ended meanwhile
	}
	f.mu.Unlock()
	go func() {
		sc := bufio.NewScanner(out)
		sc.Buffer(nil, 1<<20)
		for sc.Scan() {
			var at int64
			var who string
			if n, _ := fmt.Sscanf(sc.Text(), "%d %s ", &at, &who); n == 2 && who == "worker" {
				_, text, _ := strings.Cut(sc.Text(), " ")
				f.writeLine(time.UnixMicro(at).Sub(f.began), text)
				continue
			}
			fmt.Fprintln(file, sc.Text())
		}
		_ = cmd.Wait()
		_ = file.Close()
		close(c.done)
	}()
	return nil
}

// startProcess starts a process from a thread that lives as long as this process: the kernel
// ends a child with Pdeathsig when the thread that started it ends.
var startProcess = func() func(*exec.Cmd) error {
	type job struct {
		cmd *exec.Cmd
		err chan error
	}
	jobs := make(chan job)
	go func() {
		runtime.LockOSThread()
		for j := range jobs {
			j.err <- j.cmd.Start()
		}
	}()
	return func(cmd *exec.Cmd) error {
		j := job{cmd, make(chan error)}
		jobs <- j
		return <-j.err
	}
}()

// signal sends a signal to a process that was started.
func (f *fleet) signal(name string, sig syscall.Signal) {
	f.mu.Lock()
	c := f.children[name]
	f.mu.Unlock()
	if c != nil {
		_ = c.cmd.Process.Signal(sig)
	}
}

// wait waits for the end of a process.
func (f *fleet) wait(name string, d time.Duration) bool {
	f.mu.Lock()
	c := f.children[name]
	f.mu.Unlock()
	select {
	case <-c.done:
		return true
	case <-time.After(d):
		return false
	}
}

// end ends all processes that were started.
func (f *fleet) end() {
	f.mu.Lock()
	if f.ended {
		f.mu.Unlock()
		return
	}
	f.ended = true
	children := f.children
	f.mu.Unlock()
	for _, c := range children {
		_ = c.cmd.Process.Kill()
	}
	for _, c := range children {
		<-c.done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.tmp)
	} else {
		fmt.Println("logs:", f.tmp)
	}
}

func (f *fleet) startStore(ctx context.Context) error {
	if err := f.start("store", nil, os.Args[0], "store", "-addr", f.storeAddr()); err != nil {
		return err
	}
	return f.await(ctx, "the store does not answer", func() bool {
		resp, err := http.Get("http://" + f.storeAddr() + "/api/kv-range?prefix=x")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
}

func (f *fleet) startWorker(s workerSettings) error {
	s.Store = f.storeAddr()
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return f.start(s.ID, nil, os.Args[0], "worker", "-settings", string(text))
}

func (f *fleet) putConfig(config any) error { return putValue(f.storeAddr(), "op/config", config) }

// entrySettings is the settings file of an entry, as the users' pages show it for a small
// deployment.
const entrySettings = `node_name = "front-%[1]d"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "zone-%[1]d"
region = "region"
internal_ports = [7340,7355]
seed_nodes = [%[3]s]
first_start = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
zone-0 = "region"
zone-1 = "region"
[listen]
front = "%[2]s:8227"
ready = "%[2]s:8220"
control = "%[2]s:8229"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
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
address = "%[4]s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// startEntries starts n entries with the command of the deploy file, and waits until all are
// ready.
func (f *fleet) startEntries(ctx context.Context, n int) error {
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("%q", f.entryAddr(i, controlPort)))
	}
	for i := range n {
		ip, _, _ := strings.Cut(f.entryAddr(i, 1), ":")
		file := filepath.Join(f.tmp, fmt.Sprintf("settings-%d.toml", i))
		if err := os.WriteFile(file, fmt.Appendf(nil, entrySettings, i, ip, strings.Join(seeds, ","), f.storeAddr()), 0o600); err != nil {
			return err
		}
		if err := f.start(entryName(i), []string{"SAVORYCART_CONFIG=" + file}, "target/platform", "-metrics", fmt.Sprint(metricsPort)); err != nil {
			return err
		}
	}
	for i := range n {
		err := f.await(ctx, "an entry does not become ready", func() bool {
			resp, err := http.Get("http://" + f.entryAddr(i, readyPort) + "/api/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	f.log("platform %d entries are ready", n)
	return nil
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }
