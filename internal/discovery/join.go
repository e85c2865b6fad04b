package discovery

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// headerMAC carries the proof that the sender of a join or an answer knows the secret.
const headerMAC = "Vanillagrade-Mac"

const (
	// joinTimeout bounds one join. It covers two round trips across regions and the pause of a
	// busy VM.
	joinTimeout = 500 * time.Millisecond
	// initialJoinInterval is the average interval between joins until an entry has answered. All
	// entries of a fleet start within some hundred milliseconds of each other.
	initialJoinInterval = 100 * time.Millisecond
	// isolatedJoinInterval is the average interval between joins of an entry that was partitioned
	// until it knew no other entry.
	isolatedJoinInterval = time.Second
	// exchangeInterval is the average interval between exchanges afterwards. It bounds how long
	// two parts of a fleet that started apart stay unknown to each other.
	exchangeInterval = 2 * time.Second
	// updateDelay combines the records of many entries that arrive together into one message to
	// each receiver.
	updateDelay = 50 * time.Millisecond
	// maxReceivers is the number of entries to which each entry forwards new records. Every entry
	// that learns of them does so, which reaches all entries within a few steps. If every entry
	// sent to every other one, the messages of a starting fleet would grow with the cube of its
	// size.
	maxReceivers = 64
	// maxBodyBytes bounds a join or its answer: some thousand records.
	maxBodyBytes = 1 << 20
)

// Options configures a Joiner.
type Options struct {
	Directory *Directory
	Mesh      peer.Mesh
	// Seeds returns the addresses of the seeds; they may change.
	Seeds func() []string
	// Secret signs joins and their answers; empty on a trusted network.
	Secret []byte
	// Tell fills in the fields of a record that describe this entry's view: whether it hears the
	// incarnation or considers it ended. If nil, they stay empty.
	Tell func(*Record)
	// OnNews receives the records that were new, one call at a time.
	OnNews func([]Record)
	// OnEnded receives the records of known incarnations that another entry considers ended. May
	// be nil.
	OnEnded func([]Record)
	// Near lists the entries to which new records are forwarded; nil means up to maxReceivers
	// random entries.
	Near func() []job.EntryID
	// Digest returns a hash of the incarnations that this entry considers alive. Entries with
	// equal digests don't exchange lists. If nil, lists are exchanged each time.
	Digest func() uint64
	Log    *slog.Logger
}

// Joiner finds the other entries and lets them find this one.
type Joiner struct {
	joinClient
	opts Options

	mu      sync.Mutex
	pending []Record
	joined  bool
	wake    chan struct{}
}

// exchange is the body of a join and of its answer.
type exchange struct {
	Records []Record `cbor:"1,keyasint"`
	// Digest is the sender's digest; zero requests all records.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
}

// New returns a joiner and registers its handler on the mesh.
func New(o Options) *Joiner {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	j := &Joiner{joinClient: newJoinClient(o.Secret), opts: o, wake: make(chan struct{}, 1)}
	o.Mesh.HandleInOrder(peer.MemberNews, j.handleUpdates)
	return j
}

// Joined reports whether a record of another entry has been received.
func (j *Joiner) Joined() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.joined
}

// Learn adds records, whichever message carried them, and forwards the new ones.
func (j *Joiner) Learn(records ...Record) {
	j.reportEnded(records)
	learned := j.opts.Directory.Learn(time.Now(), records...)
	if len(learned) == 0 {
		return
	}
	j.mu.Lock()
	j.joined = true
	j.pending = append(j.pending, learned...)
	for _, r := range learned {
		j.opts.Log.Info("entry found", "peer", r.Owner.Entry, "incarnation", r.Owner.Incarnation, "availability_zone", r.Owner.Zone, "address", r.Address, "disk", r.Disk)
	}
	j.opts.OnNews(learned)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// reportEnded reports the known incarnations that other entries consider ended.
func (j *Joiner) reportEnded(records []Record) {
	var ended []Record
	for _, r := range records {
		known, ok := j.opts.Directory.Get(r.Owner.Entry)
		if r.Ended && ok && known.Owner.Incarnation == r.Owner.Incarnation {
			ended = append(ended, r)
		}
	}
	if len(ended) > 0 && j.opts.OnEnded != nil {
		j.opts.OnEnded(ended)
	}
}

func (j *Joiner) handleUpdates(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var e exchange
	if err := cbor.Unmarshal(body, &e); err != nil {
		return nil, errors.Annotate(err, "decoding records of entries")
	}
	j.Learn(e.Records...)
	return nil, nil
}

// Run joins, exchanges records and forwards new ones until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { j.sendPending(ctx) })
	for ctx.Err() == nil {
		interval := exchangeInterval
		switch {
		case !j.Joined():
			interval = initialJoinInterval
			j.joinSeeds(ctx, &wg)
		case j.knowsNoOther():
			interval = isolatedJoinInterval
			j.joinSeeds(ctx, &wg)
		default:
			j.exchangeWithRandom(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
	return nil
}

// knowsNoOther reports whether no other entry is known.
func (j *Joiner) knowsNoOther() bool { return len(j.opts.Directory.All()) == 1 }

// joinSeeds contacts all seeds in parallel and waits for none: each may be down. A seed
// without power drops the first packet, and the kernel resends it only a second later, so
// only a new connection reaches a seed soon after it is back. Waiting for such a seed would
// also delay the others: after a power loss of the whole fleet, entries found each other half
// a second late, and refused what callers sent meanwhile.
func (j *Joiner) joinSeeds(ctx context.Context, wg *sync.WaitGroup) {
	for _, seed := range j.opts.Seeds() {
		if !j.isSelf(seed) {
			wg.Go(func() { j.join(ctx, seed) })
		}
	}
}

func (j *Joiner) isSelf(address string) bool {
	self, _ := j.opts.Directory.Get(j.opts.Mesh.Self().Entry)
	return self.Address == address
}

// exchangeWithRandom exchanges records with a random seed or known entry.
func (j *Joiner) exchangeWithRandom(ctx context.Context) {
	addresses := j.opts.Seeds()
	for _, r := range j.opts.Directory.All() {
		addresses = append(addresses, r.Address)
	}
	address := addresses[rand.N(len(addresses))]
	if !j.isSelf(address) {
		j.join(ctx, address)
	}
}

// Exchange exchanges records with an entry that opened a link without being known before.
func (j *Joiner) Exchange(address string) { j.join(context.Background(), address) }

// recordsToSend returns all known records, marked with whether this entry hears each
// incarnation. Only that mark allows an entry that was forgotten during a long partition to be
// added again.
func (j *Joiner) recordsToSend() []Record {
	records := j.opts.Directory.All()
	for i := range records {
		r := &records[i]
		if r.Owner.Entry == j.opts.Mesh.Self().Entry {
			r.Heard = true
			continue
		}
		if j.opts.Tell != nil {
			j.opts.Tell(r)
		}
	}
	return records
}

func (j *Joiner) digest() uint64 {
	if j.opts.Digest == nil {
		return 0
	}
	return j.opts.Digest()
}

// join compares the known entries with those at one address: by digests first, and by the
// full lists only if the digests differ.
func (j *Joiner) join(ctx context.Context, address string) {
	digest := j.digest()
	self, _ := j.opts.Directory.Get(j.opts.Mesh.Self().Entry)
	self.Heard = true
	answer, err := j.post(ctx, address, exchange{Records: []Record{self}, Digest: digest})
	if err != nil {
		j.opts.Log.Debug("join failed", "address", address, "error", err)
		return
	}
	j.Learn(answer.Records...)
	missing := j.missingFrom(answer.Records)
	if answer.Digest == digest && digest != 0 || len(missing) == 0 {
		return
	}
	if _, err := j.post(ctx, address, exchange{Records: missing, Digest: answer.Digest}); err != nil {
		j.opts.Log.Debug("sending missing records failed", "address", address, "error", err)
	}
}

// missingFrom returns the records that another entry lacks or has only in an older state.
func (j *Joiner) missingFrom(theirs []Record) []Record {
	known := make(map[job.EntryID]Record, len(theirs))
	for _, r := range theirs {
		known[r.Owner.Entry] = r
	}
	return slices.DeleteFunc(j.recordsToSend(), func(r Record) bool {
		listed, ok := known[r.Owner.Entry]
		return ok && listed.Owner.Incarnation >= r.Owner.Incarnation && (listed.Ended || !r.Ended) || r.Owner.Entry == j.opts.Mesh.Self().Entry
	})
}

// joinClient sends joins to single addresses. A process uses one before it has a Joiner.
type joinClient struct {
	client *http.Client
	secret []byte
}

func newJoinClient(secret []byte) joinClient {
	dialer := &net.Dialer{Timeout: joinTimeout}
	return joinClient{secret: secret, client: &http.Client{
		Timeout: joinTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// lastIncarnationTimeout bounds the query for an entry's last incarnation, which delays each
// start while the seeds are down.
const lastIncarnationTimeout = 300 * time.Millisecond

// LastIncarnation returns the latest incarnation of an entry that any seed knows, or zero for
// none. The time of day may jump back between two incarnations. If incarnations were numbered
// by the time of day alone, the later one would then get the lower number and be ignored by
// all entries.
func LastIncarnation(ctx context.Context, seeds []string, secret []byte, entry job.EntryID) job.Incarnation {
	ctx, cancel := context.WithTimeout(ctx, lastIncarnationTimeout)
	defer cancel()
	client := newJoinClient(secret)
	incarnations := make(chan job.Incarnation, len(seeds))
	for _, seed := range seeds {
		go func() {
			answer, err := client.post(ctx, seed, exchange{})
			if err != nil {
				answer.Records = nil
			}
			incarnations <- incarnationIn(answer.Records, entry)
		}()
	}
	var last job.Incarnation
	for range seeds {
		last = max(last, <-incarnations)
	}
	return last
}

func incarnationIn(records []Record, entry job.EntryID) job.Incarnation {
	for _, r := range records {
		if r.Owner.Entry == entry {
			return r.Owner.Incarnation
		}
	}
	return 0
}

func (c joinClient) post(ctx context.Context, address string, e exchange) (exchange, error) {
	var answer exchange
	body, err := cbor.Marshal(e)
	if err != nil {
		return answer, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+peer.JoinPath, bytes.NewReader(body))
	if err != nil {
		return answer, errors.Trace(err)
	}
	req.Header.Set(headerMAC, c.mac(body))
	resp, err := c.client.Do(req)
	if err != nil {
		return answer, errors.Trace(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return answer, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("status %d", resp.StatusCode)
	}
	if !hmac.Equal([]byte(resp.Header.Get(headerMAC)), []byte(c.mac(raw))) {
		return answer, errors.New("the peer secrets differ")
	}
	return answer, errors.Trace(cbor.Unmarshal(raw, &answer))
}

func (c joinClient) mac(body []byte) string {
	h := hmac.New(sha256.New, c.secret)
	h.Write([]byte("vanillagrade join"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// ServeHTTP handles the join of another entry.
func (j *Joiner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !hmac.Equal([]byte(r.Header.Get(headerMAC)), []byte(j.mac(body))) {
		http.Error(w, "the peer secrets differ", http.StatusForbidden)
		return
	}
	var e exchange
	if err := cbor.Unmarshal(body, &e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j.Learn(e.Records...)
	answer := exchange{Digest: j.digest()}
	if answer.Digest == 0 || answer.Digest != e.Digest {
		answer.Records = j.recordsToSend()
	}
	raw, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerMAC, j.mac(raw))
	_, _ = w.Write(raw)
}

// sendPending forwards new records until ctx ends, after a delay that combines them.
func (j *Joiner) sendPending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(updateDelay):
		}
		j.mu.Lock()
		records := j.pending
		j.pending = nil
		j.mu.Unlock()
		j.sendRecords(records)
	}
}

// sendRecords sends records to the receivers: all entries of a small fleet, some in a large
// one.
func (j *Joiner) sendRecords(records []Record) {
	body, err := cbor.Marshal(exchange{Records: records})
	if err != nil {
		j.opts.Log.Error("records of entries not encoded", "error", err)
		return
	}
	for _, to := range j.receivers() {
		// A link that is down loses the records; the exchange repairs that.
		_ = j.opts.Mesh.Send(to, peer.MemberNews, cbor.RawMessage(body))
	}
}

func (j *Joiner) receivers() []job.EntryID {
	if j.opts.Near != nil {
		return j.opts.Near()
	}
	var others []job.EntryID
	for _, r := range j.opts.Directory.All() {
		if r.Owner.Entry != j.opts.Mesh.Self().Entry {
			others = append(others, r.Owner.Entry)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(len(others), maxReceivers)]
}
