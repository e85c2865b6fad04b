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

// registryAnnouncer accepts announcements like an entry that holds all targets.
type registryAnnouncer struct {
	registry *target.Registry
	pool     *scheduler.Pool
}

func (a *registryAnnouncer) Announce(_ context.Context, t job.Target) (lease, renew time.Duration, err error) {
	now := time.Now()
	lease, renew, err = a.registry.Announce(now, t)
	if err == nil {
		a.pool.SetTarget(now, t)
	}
	return lease, renew, err
}

func (a *registryAnnouncer) Withdraw(context.Context, job.TargetID) error { return nil }

// rawClient is a low-overhead HTTP client on a single connection.
type rawClient struct {
	conn   net.Conn
	reader *bufio.Reader
	bytes  int
}

func dial(address string) (*rawClient, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &rawClient{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// roundTrip sends an encoded request and reads the answer, and counts the bytes
// of both.
func (e *rawClient) roundTrip(request []byte) error {
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

// encodeRequest returns an HTTP request with a JSON body, encoded for the wire.
func encodeRequest(method, address, path string, body any) ([]byte, error) {
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

func measureAnnouncements(m *Slopes, minTime time.Duration) error {
	for _, n := range []int{50, 800} {
		a := &registryAnnouncer{registry: target.NewRegistry("z", config.Fixed{}), pool: scheduler.New("p", 1)}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- api.Serve(ctx, api.Server(api.Targets(a), slog.New(slog.DiscardHandler)), listener, time.Second)
		}()
		err = m.measureAnnouncementsOf(listener.Addr().String(), n, minTime)
		cancel()
		<-done
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// measureAnnouncementsOf measures the announcements of n targets.
func (m *Slopes) measureAnnouncementsOf(address string, n int, minTime time.Duration) error {
	requests := make([][]byte, n)
	for i := range requests {
		t := newTarget(i)
		request, err := encodeRequest(http.MethodPut, address, target.TargetsPath+string(t.ID), t)
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
	var lastErr error
	m.RenewalCPU = cpuPerCall(minTime, func(i int) {
		if err := e.roundTrip(requests[i%n]); err != nil {
			lastErr = err
		}
		count++
	})
	m.RenewalBytes = float64(e.bytes) / float64(count)
	at := fmt.Sprintf("%d targets held", n)
	m.addCPU("one announcement over HTTP, its small client included", at, m.RenewalCPU)
	m.addPoint("one announcement and its answer, without TCP and IP headers", at, m.RenewalBytes, "bytes")
	return errors.Trace(lastErr)
}

// measurePath sends jobs whose tasks take no time through one entry, with the time line
// and the log on and off. The processor time includes the entry, the stand-in targets and
// the callers, so it is an upper bound on that of the entry.
func measurePath(m *Slopes, minTime time.Duration) error {
	file, err := parseConfigFile(TwoYears().Teams, 1)
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
		if err := m.measureTaskPath(file, o.name, o.fleet, minTime); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (m *Slopes) measureTaskPath(file *config.File, name string, o fleet.Options, minTime time.Duration) error {
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
		perTask, err := m.cpuPerTask(f.CallerAddresses("")[0], tasks, 3*minTime)
		if err != nil {
			return errors.Trace(err)
		}
		m.addCPU("one task through one entry, targets and caller included", fmt.Sprintf("jobs of %d tasks, %s", tasks, name), perTask)
		if tasks == 10 {
			m.TaskCPU = perTask
		}
	}
	return nil
}

func (m *Slopes) cpuPerTask(address string, tasks int, minTime time.Duration) (time.Duration, error) {
	body := api.JobRequest{Team: "team00", Service: "service00", Tasks: make([]job.TaskSpec, tasks)}
	for i := range body.Tasks {
		body.Tasks[i].Payload = json.RawMessage(`{}`)
	}
	request, err := encodeRequest(http.MethodPost, address, "/v1/jobs", body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	e, err := dial(address)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = e.conn.Close() }()
	var lastErr error
	perJob := cpuPerCall(minTime, func(int) {
		if err := e.roundTrip(request); err != nil {
			lastErr = err
		}
	})
	return perJob / time.Duration(tasks), errors.Trace(lastErr)
}
