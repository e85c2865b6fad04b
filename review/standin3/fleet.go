//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// machine is one process of the system.
type machine struct {
	name, zone, ip string
	core           bool
	dir            string
	cmd            *exec.Cmd
	exited         chan struct{}
	startedBefore  bool
}

// fleet is a small deployment: processes of the system, workers and the operator.
type fleet struct {
	watch    *watch
	binary   string
	prefix   string
	machines []*machine
	workers  []*worker
	zones    []string
}

// The ports are the same on all machines, as on the platform.
const (
	firstPort   = 27720
	lastPort    = 27735
	frontPort   = 28161
	readyPort   = 28167
	controlPort = 28166
	workerPort  = 28080
)

const (
	routeHost   = "desk.example"
	routePrefix = "/render/"
	service     = "frame-desk"
)

func newFleet(w *watch, binary, dir string) (*fleet, error) {
	f := &fleet{watch: w, binary: binary, zones: []string{"tomebamba", "yanuncay", "machangara"}}
	for n := os.Getpid(); ; n++ {
		f.prefix = fmt.Sprintf("127.%d.%d", 1+n>>8&0x3f, n&0xff)
		if l, err := net.Listen("tcp", f.prefix+".10:"+strconv.Itoa(controlPort)); err == nil {
			_ = l.Close()
			break
		}
		if n > os.Getpid()+100 {
			return nil, errors.New("no free loopback addresses")
		}
	}
	add := func(name, zone string, last int, core bool) {
		f.machines = append(f.machines, &machine{
			name: name, zone: zone, ip: fmt.Sprintf("%s.%d", f.prefix, last), core: core, dir: filepath.Join(dir, name),
		})
	}
	for i, zone := range f.zones {
		add("core-"+zone+"-1", zone, 10+i, true)
	}
	for i := range 7 {
		zone := f.zones[i%3]
		add(fmt.Sprintf("edge-%s-%d", zone, 1+i/3), zone, 20+i, false)
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addresses returns the addresses of the core's or the edge's machines.
func (f *fleet) addresses(core bool, port int) []string {
	var out []string
	for _, m := range f.machines {
		if m.core == core {
			out = append(out, net.JoinHostPort(m.ip, strconv.Itoa(port)))
		}
	}
	return out
}

func (f *fleet) get(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	address := func(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
	class, serves, data, disk := "edge", "edge", any(nil), 0
	listen := map[string]string{"front": address(frontPort), "ready": address(readyPort)}
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0}
	if m.core {
		class, serves, data, disk = "core", "control_plane", filepath.Join(m.dir, "data"), 128
		listen = map[string]string{"control": address(controlPort)}
		limits = map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0}
	}
	limits["disk_mb"] = disk
	regions := map[string]string{}
	for _, z := range f.zones {
		regions[z] = "azuay"
	}
	settings := map[string]any{
		"node": m.name, "role": class, "machine_class": class, "serves": []string{serves}, "ip": m.ip, "zone": m.zone,
		"region": "azuay", "zones": regions, "listen": listen, "port_range": []int{firstPort, lastPort},
		"seeds": f.addresses(true, controlPort), "bootstrap": !m.startedBefore, "counts_as_loss": m.core, "limits": limits,
		"data_dir": data, "discovery": "registry", "entry": "vip", "heartbeat_ms": beatEvery.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
			"max_hold_ms": maxHoldMS, "stop_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"remote_slowdown": 2, "resend_ms": 1300,
		},
		"config_mode": "highest", "orders": "invoke",
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(m.dir, "node.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.binary, "platform")
	cmd.Env = append(os.Environ(), "VANILLAGRADE_CONFIG="+path, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.startedBefore = cmd, exited, true
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.watch.logf("%s started at %s", m.name, m.ip)
	return nil
}

// signal sends a signal to a machine's process.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.watch.logf("%s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

func (f *fleet) close() {
	for _, x := range f.workers {
		x.close()
	}
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
	}
}

// addWorkers starts workers, evenly over the zones.
func (f *fleet) addWorkers(count, cpu, memMB int) error {
	for i := range count {
		zone := f.zones[i%len(f.zones)]
		x, err := startWorker(f.watch, fmt.Sprintf("i-%07x%d", os.Getpid(), i), service, zone, fmt.Sprintf("%s.%d", f.prefix, 100+i), workerPort, f.addresses(true, controlPort), cpu, memMB)
		if err != nil {
			return err
		}
		f.workers = append(f.workers, x)
	}
	return nil
}

// configuration returns the operator's configuration with one queue.
func configuration(version, timeoutMS, targetMS int) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": routeHost, "path_prefix": routePrefix, "kind": "non_idempotent", "timeout_ms": timeoutMS,
			"target_latency_ms": targetMS, "priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return raw
}

// configure sends a configuration until it is accepted, to one machine after the other.
func (f *fleet) configure(body []byte) error {
	client := &http.Client{Timeout: time.Second}
	addresses := f.addresses(true, controlPort)
	for i := range 60 {
		to := addresses[i%len(addresses)]
		resp, err := client.Post("http://"+to+"/config/put", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			f.watch.logf("operator  PUT configuration at %s: %d", to, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the first configuration was not accepted")
}

// awaitReady waits until all edge machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, address := range f.addresses(false, readyPort) {
		for {
			resp, err := client.Get("http://" + address + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", address)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// reply is the answer to a client's request; status 0 means that none came.
type reply struct {
	status int
	body   string
	err    error
}

// front returns the address of an edge machine for clients.
func (m *machine) front() string { return net.JoinHostPort(m.ip, strconv.Itoa(frontPort)) }

// send sends one request of a client on a new channel.
func (f *fleet) send(ctx context.Context, method string, to *machine, id string, body []byte, deadline time.Duration) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.front()+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	f.watch.logf("client  %s %s to %s", method, id, to.name)
	resp, err := client.Do(req)
	if err != nil {
		f.watch.logf("client  %s %s at %s: no answer (%v)", method, id, to.name, err)
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		f.watch.logf("client  %s %s at %s: %d, broken", method, id, to.name, resp.StatusCode)
		return reply{err: err}
	}
	text := strings.TrimSpace(string(raw))
	f.watch.logf("client  %s %s at %s: %d %s", method, id, to.name, resp.StatusCode, text)
	return reply{status: resp.StatusCode, body: text}
}

// jobOfTasks returns the body of a best-effort job.
func jobOfTasks(count int, work time.Duration, cpu, memMB int) []byte {
	raw, _ := json.Marshal(map[string]any{
		"spec":        fmt.Sprintf("w=%d c=%d m=%d", work.Milliseconds(), cpu, memMB),
		"best_effort": true,
		"steps":       []map[string]any{{"count": count, "cpu": cpu, "mem_mb": memMB, "estimated_ms": work.Milliseconds()}},
	})
	return raw
}
