package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/eventlog"
	"github.com/vanillagrade/vanillagrade/internal/fleet"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/standin"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// announcer takes announcements as an entry does that holds all targets.
type announcer struct {
	registry *target.Registry
	pool     *scheduler.Pool
}

func (a *announcer) Announce(_ context.Context, t job.Target) (lease, renew time.Duration, err error) {
	now := time.Now()
	lease, renew, err = a.registry.Announce(now, t)
	if err == nil {
		a.pool.SetTarget(now, t)
	}
	return lease, renew, err
}

func (a *announcer) Withdraw(context.Context, job.TargetID) error { return nil }

// exchange is one connection of a client that costs little itself.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	bytes  int
}

func dial(address string) (*exchange, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &exchange{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends an encoded request and reads the answer, counting the bytes of both.
func (e *exchange) do(request []byte) error {
	if _, err := e.conn.Write(request); err != nil {
		return errors.Trace(err)
	}
	resp, err := http.ReadResponse(e.reader, nil)
	if err != nil {
		return errors.Trace(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	var head bytes.Buffer
	_ = resp.Header.Write(&head)
	e.bytes += len(request) + head.Len() + len(body) + len("HTTP/1.1 200 OK\r\n\r\n")
	return nil
}

func encoded(method, address, path string, body any) ([]byte, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(content))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), errors.Trace(err)
}

func measureRenewals(m *Slopes, least time.Duration) error {
	for _, n := range []int{50, 800} {
		a := &announcer{registry: target.NewRegistry("z", config.Fixed{}), pool: scheduler.New("p", 1)}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- api.Serve(ctx, api.Server(api.Targets(a), slog.New(slog.DiscardHandler)), listener, time.Second)
		}()
		err = m.renewals(listener.Addr().String(), n, least)
		cancel()
		<-done
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (m *Slopes) renewals(address string, n int, least time.Duration) error {
	requests := make([][]byte, n)
	for i := range requests {
		t := aTarget(i)
		request, err := encoded(http.MethodPut, address, target.TargetsPath+string(t.ID), t)
		if err != nil {
			return errors.Trace(err)
		}
		requests[i] = request
	}
	e, err := dial(address)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = e.conn.Close() }()
	count := 0
	var failed error
	m.RenewalCPU = perCall(least, func(i int) {
		if err := e.do(requests[i%n]); err != nil {
			failed = err
		}
		count++
	})
	m.RenewalBytes = float64(e.bytes) / float64(count)
	at := fmt.Sprintf("%d targets held", n)
	m.cpu("one announcement over HTTP, its small client included", at, m.RenewalCPU)
	m.point("one announcement and its answer, without TCP and IP headers", at, m.RenewalBytes, "bytes")
	return errors.Trace(failed)
}

// measurePath sends jobs of tasks that take no time through one entry, with the
// time line and the log on and off. The processor time is that of the whole process: entry,
// stand-in targets and callers, so it bounds the entry's own from above.
func measurePath(m *Slopes, least time.Duration) error {
	file, err := parsed(TwoYears().Teams, 1)
	if err != nil {
		return errors.Trace(err)
	}
	lines := eventlog.NewWriter(io.Discard)
	defer lines.Close()
	log := slog.New(slog.NewJSONHandler(lines, nil))
	for _, o := range []struct {
		name  string
		fleet fleet.Options
	}{
		{"time line off", fleet.Options{Events: -1}},
		{"time line on", fleet.Options{}},
		{"time line, figures and log on", fleet.Options{LogEvents: true, Log: log}},
	} {
		if err := m.path(file, o.name, o.fleet, least); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (m *Slopes) path(file *config.File, name string, o fleet.Options, least time.Duration) error {
	const targets = 8
	o.Zones, o.EntriesPerZone, o.TargetsPerZone, o.Pool = []job.Zone{"z"}, 1, targets, "p"
	o.Target, o.Config = standin.Options{Processors: 32, MemoryMB: 65536}, config.Fixed{File: file}
	f, err := fleet.Start(o)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx, targets*config.DefaultSlots); err != nil {
		return errors.Trace(err)
	}
	for _, tasks := range []int{1, 10, 100} {
		per, err := m.jobs(f.CallerAddresses("")[0], tasks, 3*least)
		if err != nil {
			return errors.Trace(err)
		}
		m.cpu("one task through one entry, targets and caller included", fmt.Sprintf("jobs of %d tasks, %s", tasks, name), per)
		if tasks == 10 {
			m.TaskCPU = per
		}
	}
	return nil
}

func (m *Slopes) jobs(address string, tasks int, least time.Duration) (time.Duration, error) {
	body := api.JobRequest{Team: "team00", Service: "service00", Tasks: make([]job.TaskSpec, tasks)}
	for i := range body.Tasks {
		body.Tasks[i].Payload = json.RawMessage(`{}`)
	}
	request, err := encoded(http.MethodPost, address, "/v1/jobs", body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	e, err := dial(address)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = e.conn.Close() }()
	var failed error
	per := perCall(least, func(int) {
		if err := e.do(request); err != nil {
			failed = err
		}
	})
	return per / time.Duration(tasks), errors.Trace(failed)
}
