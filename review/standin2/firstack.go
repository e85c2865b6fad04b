//go:build reviewcase

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// wipeDown is how long the machines are down that lose their disks.
	wipeDown = 3 * time.Second
	// readWithin is far more than catch_up_s, recovery_s and contact_ms together.
	readWithin = 40 * time.Second
)

// playFirstAck starts the system for the first time and sends the first configuration until it is
// acknowledged. Right after that as many core machines lose their disks as may be lost at once, the
// one that acknowledged among them. It reports whether the configuration can't be read back at any
// core machine for 40 s after they are back.
func playFirstAck(f *fleet, trouble bool) bool {
	for _, m := range f.machines {
		f.start(m)
	}
	cores := f.of(true)
	acker := f.awaitAck(cores[:1])
	if trouble {
		victims := []*machine{acker, cores[1]}[:tolerated]
		for _, m := range victims {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range victims {
			<-m.exited
			_ = os.RemoveAll(filepath.Join(m.dir, "data"))
			note("platform: %s has lost power and its disk", m.name)
		}
		time.Sleep(wipeDown)
		for _, m := range victims {
			note("platform: starts %s with an empty disk, bootstrap is false", m.name)
			f.start(m)
		}
	}
	back := time.Now()
	answers := map[string]int{}
	for n := 0; time.Since(back) < readWithin; n++ {
		m := cores[n%len(cores)]
		code, start := f.readConfiguration(m)
		if answers[fmt.Sprint(code)]++; answers[fmt.Sprint(code)] <= len(cores) || n%100 == 0 {
			note("operator: reads the configuration at %s and gets %d %s (0: no answer)", m.name, code, start)
		}
		if code == http.StatusOK && n >= len(cores) {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	note("operator: answers to the reads by status: %v", answers)
	second := strings.Replace(firstConfiguration, `"version":1`, `"version":2`, 1)
	for _, m := range cores {
		note("operator: sends configuration 2 to %s and gets %d", m.name, f.sendConfiguration(m, second))
	}
	note("LOST: the acknowledged configuration doesn't come %.0f s after all machines are back", time.Since(back).Seconds())
	return true
}

// awaitAck sends the first configuration to the given machines until one acknowledges it.
func (f *fleet) awaitAck(to []*machine) *machine {
	for n := 0; time.Since(begun) < 30*time.Second; n++ {
		m := to[n%len(to)]
		if code := f.sendConfiguration(m, firstConfiguration); code == http.StatusOK {
			note("operator: configuration 1 acknowledged by %s", m.name)
			return m
		}
		time.Sleep(100 * time.Millisecond)
	}
	unable("the configuration was not acknowledged within 30 s")
	return nil
}

func (f *fleet) sendConfiguration(m *machine, body string) int {
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s:%d/config/put", m.ip, controlPort), "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// readConfiguration reads the configuration at a machine. It returns the status and the first
// bytes of the answer.
func (f *fleet) readConfiguration(m *machine) (code int, start string) {
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/config/get", m.ip, controlPort))
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(raw[:min(40, len(raw))]))
}
