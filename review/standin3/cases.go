//go:build review3

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// The bounds of RULES.md, with the values of a small deployment.
const (
	cancelBound = 3 * time.Second        // cancel_ms
	earlyBound  = 250 * time.Millisecond // early_ms
	// slack is added to bounds for the time between an event and its record.
	slack = 200 * time.Millisecond
)

// begin starts the workers and the first configuration, and waits until all is calm.
func begin(f *fleet, workers int) error {
	if err := f.addWorkers(workers, 32000, 65536); err != nil {
		return err
	}
	if err := f.configure(configuration(3, 60000, 60000)); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// awaitRunning waits until tasks of a job run.
func awaitRunning(f *fleet, id string, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if len(f.watch.runningOf(id)) > 0 {
			return nil
		}
	}
	return errors.New("no task of the job runs")
}

// acknowledged reports whether an answer to a DELETE acknowledges the cancelling.
func acknowledged(status int) bool { return status/100 == 2 || status == http.StatusGone }

// checkCancelled checks that no task of a cancelled job starts later than the bound.
func checkCancelled(f *fleet, id string, acked time.Time) {
	f.watch.logf("the cancelling of %s is acknowledged", id)
	time.Sleep(time.Until(acked.Add(cancelBound + slack)))
	if still := f.watch.runningOf(id); len(still) > 0 {
		f.watch.logf("%.1f s after the acknowledgement these run: %s", time.Since(acked).Seconds(), strings.Join(still, ", "))
	}
	time.Sleep(time.Until(acked.Add(10 * time.Second)))
	if late := f.watch.startsAfter(id, acked.Add(cancelBound+slack)); len(late) > 0 {
		f.watch.breakf("UNASKED: %d tasks of %s start later than cancel_ms after its cancelling was acknowledged, the first, %s on %s, %.1f s after it",
			len(late), id, late[0].task, late[0].on, late[0].at.Sub(acked).Seconds())
	}
}

const jobID = "5c0e7a21d94b36f8"

// cancellableJob is a job whose tasks don't fit at once, so that some start later.
func cancellableJob() []byte { return jobOfTasks(40, 4*time.Second, 14000, 64) }

// withoutWorkers returns an edge machine that no worker sends its heartbeats to, other than the
// given one.
func (f *fleet) withoutWorkers(except *machine) *machine {
	busy := map[string]bool{except.ip: true}
	for _, x := range f.workers {
		host, _, _ := net.SplitHostPort(x.heartbeatAddress())
		busy[host] = true
	}
	for _, m := range f.machines {
		if !m.core && !busy[m.ip] {
			return m
		}
	}
	return nil
}

// playCancelThaw: a client cancels its job on an open channel to an edge machine that stands still
// for two seconds and to which no worker reports. The machine that took the job and all others are
// not disturbed.
func playCancelThaw(ctx context.Context, f *fleet, trouble bool) error {
	if err := begin(f, 6); err != nil {
		return err
	}
	owner := f.get("edge-tomebamba-1")
	other := f.withoutWorkers(owner)
	if other == nil {
		return errors.New("each edge machine has workers")
	}
	channel, err := f.open(other)
	if err != nil {
		return err
	}
	defer channel.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.send(ctx, http.MethodPost, owner, jobID, cancellableJob(), 60*time.Second)
	if err := awaitRunning(f, jobID, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		f.signal(other, syscall.SIGSTOP)
		defer time.AfterFunc(2*time.Second, func() { f.signal(other, syscall.SIGCONT) }).Stop()
		time.Sleep(time.Second)
	}
	status := f.cancelOn(channel, other, jobID)
	for try := 0; !acknowledged(status) && try < 20; try++ {
		time.Sleep(300 * time.Millisecond)
		status = f.send(ctx, http.MethodDelete, owner, jobID, nil, 5*time.Second).status
	}
	if !acknowledged(status) {
		return errors.New("the cancelling was not acknowledged")
	}
	checkCancelled(f, jobID, time.Now())
	return nil
}

// playTimed: a client hands in a best-effort job that is due three times from a later moment on.
func playTimed(ctx context.Context, f *fleet, trouble bool) error {
	if err := begin(f, 6); err != nil {
		return err
	}
	const count, occurrences, interval = 2, 3, 2 * time.Second
	body := map[string]any{}
	_ = json.Unmarshal(jobOfTasks(count, 300*time.Millisecond, 14000, 64), &body)
	due := time.Now().Add(4 * time.Second)
	wanted := count
	if trouble {
		body["repeat_count"], body["start_at_ms"], body["interval_ms"] = occurrences, due.UnixMilli(), interval.Milliseconds()
		wanted = count * occurrences
	}
	raw, _ := json.Marshal(body)
	r := f.send(ctx, http.MethodPost, f.get("edge-tomebamba-1"), jobID, raw, 30*time.Second)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if early := f.watch.startsBefore(jobID, due.Add(-earlyBound)); len(early) > 0 {
			f.watch.breakf("ORDER: %s starts %.1f s before its time", early[0].task, due.Sub(early[0].at).Seconds())
		}
	}
	if done := f.watch.doneOf(jobID); r.status == http.StatusOK && strings.Contains(r.body, "complete") && done < wanted {
		f.watch.breakf("MIXED: %s is shown as complete after %d of its %d tasks have ended done", jobID, done, wanted)
	}
	if !trouble && r.status != http.StatusOK {
		return fmt.Errorf("the job ended with %d %s", r.status, r.body)
	}
	return nil
}

// open opens a client's channel and uses it once.
func (f *fleet) open(to *machine) (net.Conn, error) {
	c, err := net.Dial("tcp", to.front())
	if err != nil {
		return nil, err
	}
	if status, err := request(c, http.MethodGet, "0000000000000001"); err != nil || status != http.StatusGone {
		_ = c.Close()
		return nil, fmt.Errorf("the open channel: %d %w", status, err)
	}
	f.watch.logf("client  opens a channel to %s", to.name)
	return c, nil
}

// cancelOn cancels a job on an open channel; 0 means that no answer came.
func (f *fleet) cancelOn(c net.Conn, to *machine, id string) int {
	f.watch.logf("client  DELETE %s to %s", id, to.name)
	status, err := request(c, http.MethodDelete, id)
	f.watch.logf("client  DELETE %s at %s: %d %v", id, to.name, status, err)
	return status
}

// request sends a request without a body on a channel and returns the status of the answer.
func request(c net.Conn, method, id string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", method, routePrefix, id, routeHost); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
