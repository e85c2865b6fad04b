package main

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/entry"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/settings"
)

// entryCmd runs an entry.
type entryCmd struct {
	Name         string `arg:"--name,env:VANILLAGRADE_NAME,required" help:"this entry's name, as listed in --peers"`
	AZ           string `arg:"--az,env:VANILLAGRADE_AZ,required" placeholder:"ZONE" help:"this entry's availability zone"`
	CallerAddr   string `arg:"--caller-addr,env:VANILLAGRADE_CALLER_ADDR,required" placeholder:"IP:PORT" help:"address to serve callers and targets on"`
	PeerAddr     string `arg:"--peer-addr,env:VANILLAGRADE_PEER_ADDR,required" placeholder:"IP:PORT" help:"address to serve other entries on"`
	OperatorAddr string `arg:"--operator-addr,env:VANILLAGRADE_OPERATOR_ADDR,required" placeholder:"IP:PORT" help:"address to serve operators on"`
	MetricsAddr  string `arg:"--metrics-addr,env:VANILLAGRADE_METRICS_ADDR" placeholder:"IP:PORT" help:"address to serve metrics as text on, at /metrics"`
	Peers        string `arg:"--peers,env:VANILLAGRADE_PEERS" placeholder:"NAME=ZONE@IP:PORT,..." help:"all entries with their peer addresses"`
	Data         string `arg:"--data,env:VANILLAGRADE_DATA" placeholder:"DIR" help:"data folder on a disk, on VMs that have one"`
	Voters       string `arg:"--voters,env:VANILLAGRADE_VOTERS" placeholder:"NAME,..." help:"the entries with a disk that agree on configurations"`

	Processors float64 `arg:"--processors,env:VANILLAGRADE_PROCESSORS" placeholder:"N" help:"number of processors of this VM that the entry may use, possibly a fraction; bounds how many targets it holds"`
	LinkMbps   float64 `arg:"--link-mbps,env:VANILLAGRADE_LINK_MBPS" placeholder:"N" help:"rate of this VM's link in megabits per second; bounds how many targets it holds"`
	MemoryMB   int64   `arg:"--memory-mb,env:VANILLAGRADE_MEMORY_MB" placeholder:"N" help:"memory that the entry may use, in MiB; all of the machine's if unset"`
}

// settings returns the settings after checking them.
func (c *entryCmd) settings() (*settings.Entry, error) {
	s := &settings.Entry{
		Name:         job.EntryID(c.Name),
		Zone:         job.Zone(c.AZ),
		CallerAddr:   c.CallerAddr,
		PeerAddr:     c.PeerAddr,
		OperatorAddr: c.OperatorAddr,
		MetricsAddr:  c.MetricsAddr,
		DataDir:      c.Data,
		Voters:       settings.ParseNames(c.Voters),
		Processors:   c.Processors,
		LinkMbps:     c.LinkMbps,
		MemoryBytes:  c.MemoryMB << 20,
	}
	peers, err := settings.ParsePeers(c.Peers)
	if err != nil {
		return nil, err
	}
	s.Peers = peers
	secret, err := settings.Secret("VANILLAGRADE_PEER_SECRET")
	if err != nil {
		return nil, err
	}
	s.PeerSecret = []byte(secret)
	s.OperatorToken, err = settings.Secret("VANILLAGRADE_OPERATOR_TOKEN")
	if err != nil {
		return nil, err
	}
	return s, s.Check()
}

func (c *entryCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	s, err := c.settings()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	lines := setLimitedLog(ctx, stdout)
	defer lines.Close()
	limitHeap(s)
	options := entry.Options{Settings: *s, Log: slog.Default(), LogEvents: true}
	if s.MetricsAddr != "" {
		l, err := net.Listen("tcp", s.MetricsAddr)
		if err != nil {
			return fail(stderr, exitUsage, errors.Annotate(err, "--metrics-addr"))
		}
		options.Attach = func(e *entry.Entry) []entry.AttachedServer {
			metricsServer := &http.Server{Handler: e.Metrics(lines.Dropped), ReadHeaderTimeout: metricsHeaderTimeout}
			return []entry.AttachedServer{{Listener: l, Server: metricsServer}}
		}
	}
	e, err := entry.New(options)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if err := e.Run(ctx); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}

// metricsHeaderTimeout bounds the time for reading the headers of a request for metrics.
const metricsHeaderTimeout = 5 * time.Second
