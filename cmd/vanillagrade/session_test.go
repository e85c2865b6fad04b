package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillagrade/vanillagrade/internal/fleet"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// conditionTimeout bounds how long a session waits for a condition. It is far longer than
// needed, so that a busy machine doesn't change the result.
const conditionTimeout = 60 * time.Second

type sessionFleetKey struct{}

// sessionFleet is the fleet of one session: entry processes, stand-in targets in the test's
// own process, and the links between the entries.
type sessionFleet struct {
	names   []string
	zones   map[string]string
	voters  string
	ports   map[string]*entryPorts
	links   map[[2]string]*link
	running map[string]*process
	tracker *standin.StartTracker
	targets map[string]func()
	// released is closed to let the tasks of held targets end.
	released    chan struct{}
	releaseOnce sync.Once
}

type entryPorts struct{ caller, peer, operator string }

type process struct {
	cmd    *exec.Cmd
	ended  chan error
	stderr *bytes.Buffer
}

func newSessionFleet() *sessionFleet {
	return &sessionFleet{
		zones: map[string]string{}, ports: map[string]*entryPorts{}, links: map[[2]string]*link{},
		running: map[string]*process{}, tracker: standin.NewStartTracker(), targets: map[string]func(){},
		released: make(chan struct{}),
	}
}

// sessionCommands are the commands of sessions in addition to those of testscript.
var sessionCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":     withSessionFleet((*sessionFleet).fleet),
	"entry":     withSessionFleet((*sessionFleet).entry),
	"crash":     withSessionFleet((*sessionFleet).crash),
	"terminate": withSessionFleet((*sessionFleet).terminate),
	"ended":     withSessionFleet((*sessionFleet).ended),
	"target":    withSessionFleet((*sessionFleet).target),
	"leave":     withSessionFleet((*sessionFleet).leave),
	"release":   withSessionFleet((*sessionFleet).release),
	"cut":       withSessionFleet((*sessionFleet).cut),
	"heal":      withSessionFleet((*sessionFleet).heal),
	"starts":    withSessionFleet((*sessionFleet).starts),
	"until":     withSessionFleet((*sessionFleet).until),
}

func withSessionFleet(f func(*sessionFleet, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command can't be negated")
		}
		f(ts.Value(sessionFleetKey{}).(*sessionFleet), ts, args)
	}
}

// fleet NAME=ZONE... [voters=NAME,...] chooses ports and sets $NAME_CALLER and
// $NAME_OPERATOR, and $CALLERS and $OPERATORS with all of them.
func (s *sessionFleet) fleet(ts *testscript.TestScript, args []string) {
	var callers, operators []string
	for _, a := range args {
		name, zone, _ := strings.Cut(a, "=")
		if name == "voters" {
			s.voters = zone
			continue
		}
		s.names = append(s.names, name)
		s.zones[name] = zone
		s.ports[name] = &entryPorts{freePort(ts), freePort(ts), freePort(ts)}
		ts.Setenv(name+"_CALLER", s.ports[name].caller)
		ts.Setenv(name+"_OPERATOR", s.ports[name].operator)
		callers = append(callers, s.ports[name].caller)
		operators = append(operators, s.ports[name].operator)
	}
	ts.Setenv("CALLERS", strings.Join(callers, ","))
	ts.Setenv("OPERATORS", strings.Join(operators, ","))
	ts.Setenv("VANILLAGRADE_ENTRY", strings.Join(callers, ","))
	ts.Setenv("VANILLAGRADE_OPERATOR", strings.Join(operators, ","))
	for _, from := range s.names {
		for _, to := range s.names {
			if from != to {
				s.links[[2]string{from, to}] = newLink(ts, s.ports[to].peer)
			}
		}
	}
}

// freePort returns an address for an entry process that is started later.
func freePort(ts *testscript.TestScript) string {
	l, err := fleet.Listen()
	ts.Check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// entry NAME... starts entries and waits until each answers its health check.
func (s *sessionFleet) entry(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		s.startEntry(ts, name)
	}
	for _, name := range args {
		s.await(ts, name, func() bool {
			resp, err := http.Get("http://" + s.ports[name].caller + "/healthz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

func (s *sessionFleet) startEntry(ts *testscript.TestScript, name string) {
	var peers []string
	for _, other := range s.names {
		address := s.ports[other].peer
		if w := s.links[[2]string{name, other}]; w != nil {
			address = w.address()
		}
		peers = append(peers, fmt.Sprintf("%s=%s@%s", other, s.zones[other], address))
	}
	args := []string{
		"entry", "--name", name, "--az", s.zones[name], "--caller-addr", s.ports[name].caller,
		"--peer-addr", s.ports[name].peer, "--operator-addr", s.ports[name].operator,
		"--peers", strings.Join(peers, ","), "--voters", s.voters,
	}
	if strings.Contains(","+s.voters+",", ","+name+",") {
		args = append(args, "--data", filepath.Join(ts.Getenv("WORK"), "data-"+name))
	}
	path, err := exec.LookPath("vanillagrade")
	if found := lookPath(ts.Getenv("PATH")); found != "" {
		path, err = found, nil
	}
	ts.Check(err)
	p := &process{cmd: exec.Command(path, args...), ended: make(chan error, 1), stderr: &bytes.Buffer{}}
	p.cmd.Stderr = p.stderr
	ts.Check(p.cmd.Start())
	go func() { p.ended <- p.cmd.Wait() }()
	s.running[name] = p
	ts.Defer(func() {
		if s.running[name] != p {
			return
		}
		_ = p.cmd.Process.Kill()
		<-p.ended
		ts.Logf("log of %s:\n%s", name, p.stderr)
	})
}

// lookPath finds the vanillagrade command of the session, which is not in the test
// binary's own PATH.
func lookPath(path string) string {
	for _, dir := range filepath.SplitList(path) {
		file := filepath.Join(dir, "vanillagrade")
		if info, err := os.Stat(file); err == nil && !info.IsDir() {
			return file
		}
	}
	return ""
}

func (s *sessionFleet) await(ts *testscript.TestScript, what string, done func() bool) {
	const poll = 20 * time.Millisecond
	for deadline := time.Now().Add(conditionTimeout); !done(); time.Sleep(poll) {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %s after %s", what, conditionTimeout)
		}
	}
}

// end sends a signal to an entry and waits until its process ends.
func (s *sessionFleet) end(ts *testscript.TestScript, name string, signal syscall.Signal) error {
	p := s.running[name]
	if p == nil {
		ts.Fatalf("entry %s is not running", name)
	}
	delete(s.running, name)
	ts.Check(p.cmd.Process.Signal(signal))
	err := <-p.ended
	ts.Logf("log of %s:\n%s", name, p.stderr)
	return err
}

// crash NAME... kills entries, like the crash of a VM.
func (s *sessionFleet) crash(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		_ = s.end(ts, name, syscall.SIGKILL)
	}
}

// terminate NAME... starts a planned stop of entries; each must exit with 0.
func (s *sessionFleet) terminate(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.end(ts, name, syscall.SIGTERM))
	}
}

// ended NAME... waits until entries exit by themselves, each with 0.
func (s *sessionFleet) ended(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		p := s.running[name]
		delete(s.running, name)
		ts.Check(<-p.ended)
	}
}

// target ID ZONE POOL SLOTS [held] starts a stand-in target that announces itself to the
// entries of its zone. A held target keeps its tasks running until release.
func (s *sessionFleet) target(ts *testscript.TestScript, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: target ID ZONE POOL SLOTS [held]")
	}
	slots, err := strconv.Atoi(args[3])
	ts.Check(err)
	var entries []string
	for _, name := range s.names {
		if s.zones[name] == args[1] {
			entries = append(entries, s.ports[name].caller)
		}
	}
	o := standin.Options{
		ID: job.TargetID(args[0]), Zone: job.Zone(args[1]), Service: args[2], Slots: slots,
		Entries: entries, Starts: s.tracker, Processors: 8, MemoryMB: 8192,
	}
	if len(args) == 5 {
		o.Work = s.heldWork
	}
	t, err := standin.New(o)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = t.Run(ctx)
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	s.targets[args[0]] = stop
	ts.Defer(func() {
		s.releaseTasks() // a failed script may not have released its tasks
		stop()
	})
}

func (s *sessionFleet) heldWork(ctx context.Context, _ job.ID, _ int, payload []byte) ([]byte, error) {
	select {
	case <-s.released:
		return payload, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// release lets the tasks of held targets end.
func (s *sessionFleet) release(_ *testscript.TestScript, _ []string) { s.releaseTasks() }

func (s *sessionFleet) releaseTasks() { s.releaseOnce.Do(func() { close(s.released) }) }

// leave ID... makes targets withdraw and stop.
func (s *sessionFleet) leave(ts *testscript.TestScript, args []string) {
	for _, id := range args {
		s.targets[id]()
	}
}

// starts N asserts that N tasks were started on all targets together, and none twice.
func (s *sessionFleet) starts(ts *testscript.TestScript, args []string) {
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	// The entry records a start before the target receives the task.
	s.await(ts, "starts "+args[0], func() bool { return s.tracker.Starts() >= want })
	if got := s.tracker.Starts(); got != want {
		ts.Fatalf("%d starts, expected %d", got, want)
	}
	if n := s.tracker.DoubledStarts(); n != 0 {
		ts.Fatalf("%d tasks were started twice", n)
	}
}

// until PATTERN exec vanillagrade ARGUMENT... repeats the command until its output matches.
func (s *sessionFleet) until(ts *testscript.TestScript, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	s.await(ts, strings.Join(args, " "), func() bool {
		cmd := exec.Command(lookPath(ts.Getenv("PATH")), args[3:]...)
		cmd.Dir = ts.Getenv("WORK")
		cmd.Env = append(os.Environ(), "VANILLAGRADE_ENTRY="+ts.Getenv("VANILLAGRADE_ENTRY"), "VANILLAGRADE_OPERATOR="+ts.Getenv("VANILLAGRADE_OPERATOR"))
		out, _ := cmd.CombinedOutput()
		return pattern.Match(out)
	})
}

// cut ZONE... breaks all links between entries of the zones and other entries.
func (s *sessionFleet) cut(_ *testscript.TestScript, args []string) { s.setLinks(args, true) }

// heal ZONE... restores the links that cut breaks.
func (s *sessionFleet) heal(_ *testscript.TestScript, args []string) { s.setLinks(args, false) }

func (s *sessionFleet) setLinks(zones []string, down bool) {
	for pair, w := range s.links {
		for _, zone := range zones {
			if (s.zones[pair[0]] == zone) != (s.zones[pair[1]] == zone) {
				w.setDown(down)
			}
		}
	}
}
