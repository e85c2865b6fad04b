//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports are the same on all machines, as on the platform.
var (
	frontPort, readyPort, controlPort int
	firstPort, lastPort               int
)

// restartDelay is the short delay after which a process that ended by itself is started again.
const restartDelay = 300 * time.Millisecond

// machine is one machine of the system with its process, across all restarts.
type machine struct {
	fleet          *fleet
	name, zone, ip string
	core           bool
	dir            string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started bool
	// wanted is set while the platform keeps the process running.
	wanted bool
	// ends counts how often the process ended by itself, memory ends included.
	ends int
	// peakMB is the largest resident memory that was seen.
	peakMB int
}

// fleet is a small deployment: one or more edge machines and a core machine in each zone.
type fleet struct {
	rec      *recorder
	dir      string
	program  []string
	machines []*machine
	// memoryMB is the limit of a process; the platform kills one that uses more. Zero turns the
	// check off.
	memoryMB atomic.Int64
	stop     chan struct{}
}

var zones = []string{"tomebamba", "yanuncay", "machangara"}

// newFleet prepares the machines; edges is the number of edge machines in each zone.
func newFleet(rec *recorder, dir string, edges []int) *fleet {
	choosePorts()
	f := &fleet{rec: rec, dir: dir, program: strings.Fields(roleCommand), stop: make(chan struct{})}
	prefix := fmt.Sprintf("127.%d.%d", 1+(os.Getpid()>>8)&0x7f, os.Getpid()&0xff)
	for i, zone := range zones {
		f.add(fmt.Sprintf("core-%s-1", zone), zone, fmt.Sprintf("%s.%d", prefix, 10+i), true)
	}
	n := 0
	for i, zone := range zones {
		for k := range edges[i] {
			f.add(fmt.Sprintf("edge-%s-%d", zone, k+1), zone, fmt.Sprintf("%s.%d", prefix, 20+n), false)
			n++
		}
	}
	return f
}

func choosePorts() {
	base := 21000 + (os.Getpid()%1000)*40
	frontPort, readyPort, controlPort = base, base+1, base+2
	firstPort, lastPort = base+10, base+25
}

func (f *fleet) add(name, zone, ip string, core bool) {
	m := &machine{fleet: f, name: name, zone: zone, ip: ip, core: core, dir: filepath.Join(f.dir, name)}
	must(os.MkdirAll(m.dir, 0o700))
	f.machines = append(f.machines, m)
}

func (f *fleet) start() {
	for _, m := range f.machines {
		m.start()
	}
	go f.watchMemory()
}

func (f *fleet) controls() []string {
	var out []string
	for _, m := range f.machines {
		if m.core {
			out = append(out, m.addr(controlPort))
		}
	}
	return out
}

func (f *fleet) edges() []*machine {
	var out []*machine
	for _, m := range f.machines {
		if !m.core {
			out = append(out, m)
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
	panic("no machine " + name)
}

func (f *fleet) close() {
	close(f.stop)
	for _, m := range f.machines {
		m.kill("the script ends")
	}
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings writes the settings file of DEPLOY.md.
func (m *machine) settings() string {
	f := m.fleet
	listen := map[string]string{"front": m.addr(frontPort), "ready": m.addr(readyPort)}
	serves, class, data, disk := []string{"edge"}, "edge", any(nil), 0
	if m.core {
		listen = map[string]string{"control": m.addr(controlPort)}
		serves, class, data, disk = []string{"control_plane"}, "core", filepath.Join(m.dir, "data"), 128
		must(os.MkdirAll(filepath.Join(m.dir, "data"), 0o700))
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "azuay"
	}
	s := map[string]any{
		"node": m.name, "role": "role", "machine_class": class, "serves": serves, "ip": m.ip, "zone": m.zone, "region": "azuay",
		"zones": regions, "listen": listen, "port_range": []int{firstPort, lastPort}, "seeds": f.controls(), "bootstrap": !m.started,
		"counts_as_loss": m.core, "limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": disk},
		"data_dir": data, "discovery": "registry", "entry": "vip", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
			"max_hold_ms": 1000, "stop_ms": 50, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
			"finish_s": 14, "status_s": 120, "remote_slowdown": 2, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500,
			"migrate_s": 1.5, "maintenance_s": 2, "enforce_fencing": false, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100,
			"harm_ms": 4000, "resend_ms": 1300,
		},
		"config_mode": "highest", "orders": "invoke",
	}
	raw, err := json.Marshal(s)
	must(err)
	path := filepath.Join(m.dir, "node.json")
	must(os.WriteFile(path, raw, 0o600))
	return path
}

// start starts the process, and starts it again whenever it ends by itself.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = true
	m.startLocked()
}

func (m *machine) startLocked() {
	if m.cmd != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command(m.fleet.program[0], m.fleet.program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLAGRADE_CONFIG=" + m.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	m.started = true
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		close(exited)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.cmd == cmd {
			m.cmd = nil
		}
		if m.wanted {
			m.ends++
			m.fleet.rec.event("process-end", map[string]any{"machine": m.name, "how": fmt.Sprint(err), "ends": m.ends, "peak_mb": m.peakMB})
			time.AfterFunc(restartDelay, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.wanted {
					m.startLocked()
					m.fleet.rec.event("process-start", map[string]any{"machine": m.name})
				}
			})
		}
	}()
}

// kill ends the process with SIGKILL and leaves it down.
func (m *machine) kill(why string) {
	m.end(syscall.SIGKILL, why)
}

// terminate ends the process with SIGTERM, and with SIGKILL after the grace period.
func (m *machine) terminate(why string) { m.end(syscall.SIGTERM, why) }

func (m *machine) end(s syscall.Signal, why string) {
	m.mu.Lock()
	m.wanted = false
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	m.fleet.rec.event("signal", map[string]any{"machine": m.name, "signal": s.String(), "why": why})
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		_ = cmd.Process.Kill()
		<-exited
	}
	m.mu.Lock()
	if m.cmd == cmd {
		m.cmd = nil
	}
	m.mu.Unlock()
}

// signal sends a signal to the running process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.rec.event("signal", map[string]any{"machine": m.name, "signal": s.String()})
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// watchMemory does what DEPLOY.md says of a process that uses more than memory_mb: it is killed.
func (f *fleet) watchMemory() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, m := range f.machines {
			m.checkMemory()
		}
	}
}

func (m *machine) checkMemory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	mb := residentMB(m.cmd.Process.Pid)
	m.peakMB = max(m.peakMB, mb)
	if limit := int(m.fleet.memoryMB.Load()); limit > 0 && mb > limit {
		m.fleet.rec.event("memory", map[string]any{"machine": m.name, "resident_mb": mb, "limit_mb": limit, "then": "killed by the platform"})
		_ = m.cmd.Process.Kill()
	}
}

func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		os.Exit(exitCannotRun)
	}
}
