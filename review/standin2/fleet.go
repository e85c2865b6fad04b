//go:build reviewcase

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports are the same on all machines within a day, as on the platform.
const (
	firstPort   = 7720
	lastPort    = 7735
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
)

// machine is one process of the system with an address of its own.
type machine struct {
	name, zone, ip, dir string
	core                bool
	cmd                 *exec.Cmd
	exited              chan struct{}
	started             bool
}

// fleet is a small deployment: two core machines and two edge machines in each of three zones.
type fleet struct {
	program  string
	dir      string
	machines []*machine
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	coresPerZone, edgesPerZone = 2, 2
	// seedCount is how many addresses a process is told, tolerated how many machines with a disk
	// may be lost at once.
	seedCount, tolerated = 3, 2
)

func newFleet(program, dir string) *fleet {
	f := &fleet{program: program, dir: dir}
	net := freePrefix()
	for i := range coresPerZone * len(zones) {
		z := zones[i%len(zones)]
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("core-%s-%d", z, 1+i/len(zones)), zone: z, ip: fmt.Sprintf("%s.%d", net, 10+i), core: true})
	}
	for i := range edgesPerZone * len(zones) {
		z := zones[i%len(zones)]
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("edge-%s-%d", z, 1+i/len(zones)), zone: z, ip: fmt.Sprintf("%s.%d", net, 20+i)})
	}
	for _, m := range f.machines {
		m.dir = filepath.Join(dir, m.name)
	}
	return f
}

// freePrefix returns the first three numbers of loopback addresses on which the ports are free.
func freePrefix() string {
	for i := range 200 {
		n := os.Getpid() + i*7919
		prefix := fmt.Sprintf("127.%d.%d", 16+n>>8&0x7f, n&0xff)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", prefix, controlPort))
		if err != nil {
			continue
		}
		l.Close()
		return prefix
	}
	unable("no free loopback addresses")
	return ""
}

func (f *fleet) of(core bool) []*machine {
	var out []*machine
	for _, m := range f.machines {
		if m.core == core {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) controls() []string {
	var out []string
	for _, m := range f.of(true) {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return out
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		unable("%v", err)
	}
	settings := f.writeSettings(m)
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	m.cmd = exec.Command(f.program, "platform")
	m.cmd.Env = []string{"VANILLAGRADE_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "LANG=C"}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		unable("%v", err)
	}
	m.started, m.exited = true, make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		log.Close()
		close(done)
	}(m.cmd, m.exited)
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.cmd != nil {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
	}
}

func (f *fleet) writeSettings(m *machine) string {
	listen := map[string]string{"front": fmt.Sprintf("%s:%d", m.ip, frontPort), "ready": fmt.Sprintf("%s:%d", m.ip, readyPort)}
	serves, class, data, share, memory := []string{"edge"}, "edge", any(nil), 0.192, 184
	if m.core {
		listen = map[string]string{"control": fmt.Sprintf("%s:%d", m.ip, controlPort)}
		serves, class, data, share, memory = []string{"control_plane"}, "core", filepath.Join(m.dir, "data"), 0.64, 408
		if err := os.MkdirAll(data.(string), 0o700); err != nil {
			unable("%v", err)
		}
	}
	zoneRegions := map[string]string{}
	for _, z := range zones {
		zoneRegions[z] = "region"
	}
	s := map[string]any{
		"node": m.name, "role": class, "machine_class": class, "serves": serves, "ip": m.ip, "zone": m.zone, "region": "region",
		"zones": zoneRegions, "listen": listen, "port_range": []int{firstPort, lastPort}, "seeds": f.controls()[:seedCount],
		"bootstrap": !m.started, "counts_as_loss": m.core,
		"limits":   map[string]any{"cpu_share": share, "cores": 1, "memory_mb": memory, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 192},
		"data_dir": data, "discovery": "registry", "entry": "vip", "heartbeat_ms": heartbeatMillis,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": tolerated, "zones": 1, "regions": 0},
		"bounds":          bounds, "config_mode": "highest", "orders": "invoke",
	}
	raw, err := json.Marshal(s)
	if err != nil {
		unable("%v", err)
	}
	path := filepath.Join(m.dir, "node.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		unable("%v", err)
	}
	return path
}

// bounds are those of the site file that the claims name.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 2500, "grace_s": 6,
	"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 6000, "recovery_s": 15,
	"max_hold_ms": maxHoldMillis, "stop_ms": 50, "gang_timeout_ms": 4000, "cancel_ms": 4000, "visible_ms": 3000, "early_ms": 250,
	"finish_s": 14, "status_s": 120, "remote_slowdown": 2, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 5500,
	"migrate_s": 1.5, "maintenance_s": 2, "enforce_fencing": false, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100,
	"harm_ms": 4500, "resend_ms": 1300,
}

const (
	heartbeatMillis = 1500
	maxHoldMillis   = 1000
)

// host and prefix are those of the only route, service the name of its workers.
const (
	host    = "queue.example"
	prefix  = "/jobs/"
	service = "render"
)

// firstConfiguration is the operator's first configuration.
var firstConfiguration = fmt.Sprintf(`{"version":1,"routes":[{"name":"r1","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":3,"stretch":1.6}],"services":[{"name":%q,"health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, host, prefix, service, service)

// putConfiguration has the operator send the first configuration until it is acknowledged.
func (f *fleet) putConfiguration() {
	client := &http.Client{Timeout: time.Second}
	for n := 0; time.Since(begun) < 30*time.Second; n++ {
		at := f.controls()[n%len(f.controls())]
		resp, err := client.Post("http://"+at+"/config/put", "application/json", strings.NewReader(firstConfiguration))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				note("operator: configuration 1 acknowledged by %s", at)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	unable("the configuration was not acknowledged within 30 s")
}

// startAll starts all processes and waits until the first configuration is acknowledged.
func (f *fleet) startAll() {
	for _, m := range f.machines {
		f.start(m)
	}
	f.putConfiguration()
}

// awaitReady waits until each edge machine says that it is ready.
func (f *fleet) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for _, m := range f.of(false) {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(begun) > 40*time.Second {
				unable("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	note("all edge machines are ready")
}
