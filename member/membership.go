package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

// Defaults of a Membership. leaveGracePeriod is how long Leave waits for the
// announcement to spread.
const (
	DefaultListInterval = 5 * time.Second
	leaveGracePeriod    = time.Second
)

// Config configures a Membership. Self, ListenAddr and Key must be set.
type Config struct {
	Self host.Info
	// ListenAddr is the UDP address, as host:port, that receives datagrams.
	ListenAddr string
	// Key is the fleet's shared secret, which signs the datagrams.
	Key []byte
	// Seeds are link addresses of other hosts, from the settings.
	Seeds []netip.AddrPort
	// HostList gives more seeds: its entries without a pool, which are hosts. It
	// may be nil.
	HostList infra.HostList
	// Urgent are topics whose facts are sent before all other facts and have a
	// budget of their own, half as large as the normal one. They must be rare.
	Urgent []Topic
	// ListInterval is how often the host list is read.
	ListInterval time.Duration
	Timing       Timing
	// Now and Rand are set by tests. Nil uses the system clock and a random seed.
	Now        func() time.Time
	Rand       *rand.Rand
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Membership runs the membership protocol for the local host. It is safe for
// concurrent use. Lock order: coreMu before subscribersMu; no callback runs
// under either.
type Membership struct {
	config    Config
	sealer    *sealer
	metrics   *metrics
	transport *transport

	coreMu sync.Mutex
	core   *core

	view atomic.Pointer[view]

	listChanged chan struct{} // wakes pollHostList

	subscribersMu   sync.Mutex
	subscribers     map[Topic][]func(Fact)
	changeCallbacks []func()
}

// view is an immutable snapshot of the members; a change replaces it.
type view struct {
	members []host.Member
	byID    map[host.ID]host.Member
}

var (
	_ host.View = (*Membership)(nil)
	_ Gossip    = (*Membership)(nil)
)

// New returns a membership that knows only the local host until Run.
func New(config Config) (*Membership, error) {
	switch {
	case config.Self.ID == "" || !config.Self.LinkAddr.IsValid():
		return nil, Error.New("the local host needs an ID and a link address")
	case len(config.Key) == 0:
		return nil, Error.New("the fleet key is empty")
	}
	config.Timing.fillDefaults()
	defaults.Set(&config.ListInterval, DefaultListInterval)
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	m := &Membership{
		config:      config,
		sealer:      newSealer(config.Key),
		metrics:     newMetrics(config.Registerer),
		core:        newCore(config.Self, config.Timing, config.Rand, config.Now()),
		subscribers: make(map[Topic][]func(Fact)),
		listChanged: make(chan struct{}, 1),
	}
	m.core.setSeeds(config.Now(), config.Seeds)
	if config.HostList == nil {
		m.core.syncer.listedAt = config.Now()
	}
	m.core.queue.urgentTopics = make(map[Topic]bool, len(config.Urgent))
	for _, topic := range config.Urgent {
		m.core.queue.urgentTopics[topic] = true
	}
	m.transport = newTransport(config.ListenAddr, m.receive, config.Logger)
	m.publishView(config.Now())
	return m, nil
}

// Run runs the protocol until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.transport.run(ctx) })
	group.Go(func() error {
		if err := m.transport.waitReady(ctx); err != nil {
			return err
		}
		return m.runTicks(ctx)
	})
	if m.config.HostList != nil {
		group.Go(func() error { return m.pollHostList(ctx) })
	}
	return group.Wait()
}

func (m *Membership) runTicks(ctx context.Context) error {
	defer m.transport.close()
	ticker := time.NewTicker(m.config.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.runStep(func(now time.Time) { m.core.stop(now) })
			return nil
		case <-ticker.C:
			m.runStep(func(now time.Time) { m.core.tick(now) })
			m.refreshView()
		}
	}
}

// runStep runs one step of the core, and afterwards sends the messages and
// delivers the facts that it produced.
func (m *Membership) runStep(step func(now time.Time)) {
	m.coreMu.Lock()
	step(m.config.Now())
	send, deliver := m.core.takeOutput()
	m.coreMu.Unlock()
	m.transmit(send)
	m.deliver(deliver)
}

// refreshView publishes the changes since the last tick to readers and
// callbacks.
func (m *Membership) refreshView() {
	m.coreMu.Lock()
	changed := m.core.takeChanged()
	if changed {
		m.publishView(m.config.Now())
	}
	m.metrics.observe(m.core)
	m.coreMu.Unlock()
	if changed {
		m.notifyChange()
	}
}

func (m *Membership) transmit(messages []outgoing) {
	for _, o := range messages {
		datagram, err := m.sealer.seal(o.message)
		if err != nil {
			m.config.Logger.Error("failed to encode datagram", "error", err)
			continue
		}
		m.metrics.sentBytes.Add(float64(len(datagram)))
		m.metrics.sent.Inc()
		if err := m.transport.send(datagram, o.to); err != nil {
			m.metrics.sendErrors.Inc()
		}
	}
}

// receive verifies and processes one datagram from the network.
func (m *Membership) receive(datagram []byte) {
	m.metrics.receivedBytes.Add(float64(len(datagram)))
	message, cause := m.sealer.open(datagram)
	if cause == notRejected {
		m.runStep(func(now time.Time) { cause = m.core.receive(now, message) })
	}
	if cause != notRejected {
		m.metrics.rejected.WithLabelValues(string(cause)).Inc()
	}
}

// publishView replaces the snapshot that readers see. Except in New, coreMu must
// be held.
func (m *Membership) publishView(now time.Time) {
	members := m.core.members(now)
	byID := make(map[host.ID]host.Member, len(members))
	for _, h := range members {
		byID[h.ID] = h
	}
	m.view.Store(&view{members: members, byID: byID})
	m.metrics.observeMembers(members)
}

func (m *Membership) deliver(facts []Fact) {
	for _, f := range facts {
		m.subscribersMu.Lock()
		subscribers := m.subscribers[f.Topic]
		m.subscribersMu.Unlock()
		for _, callback := range subscribers {
			callback(f)
		}
	}
}

func (m *Membership) notifyChange() {
	m.subscribersMu.Lock()
	callbacks := m.changeCallbacks
	m.subscribersMu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// pollHostList updates the seeds from the host list at every ListInterval. If
// the list can't be read, the previous seeds stay.
func (m *Membership) pollHostList(ctx context.Context) error {
	ticker := time.NewTicker(m.config.ListInterval)
	defer ticker.Stop()
	for {
		if listings, err := m.config.HostList.List(ctx); err != nil {
			m.config.Logger.Warn("host list unreadable, keeping the previous seeds", "error", err)
		} else {
			m.setHostList(listings)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.listChanged:
		}
	}
}

// HostListChanged has the host list read now instead of at the next ListInterval.
func (m *Membership) HostListChanged() {
	select {
	case m.listChanged <- struct{}{}:
	default:
	}
}

// setHostList takes the seeds, and the hosts that are members, from the host list.
func (m *Membership) setHostList(listings []infra.Listing) {
	seeds := append([]netip.AddrPort(nil), m.config.Seeds...)
	var listed []host.Info
	for _, l := range listings {
		if l.Pool == "" {
			seeds = append(seeds, l.Addr)
			listed = append(listed, l.Info)
		}
	}
	m.coreMu.Lock()
	m.core.setSeeds(m.config.Now(), seeds)
	m.core.setListed(m.config.Now(), listed)
	m.coreMu.Unlock()
	m.refreshView()
}

// Leave announces that the host is leaving and gives the announcement time to
// spread. Cancel Run's context afterwards.
func (m *Membership) Leave(ctx context.Context) error {
	m.runStep(func(now time.Time) { m.core.leave(now) })
	linger := time.NewTimer(leaveGracePeriod)
	defer linger.Stop()
	select {
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-linger.C:
		return nil
	}
}

// SetGeneration announces the configuration generation that the host serves.
func (m *Membership) SetGeneration(generation uint64) {
	m.runStep(func(now time.Time) { m.core.setGeneration(now, generation) })
}

// NewestGeneration returns the highest generation that any host has announced,
// including hosts that are gone.
func (m *Membership) NewestGeneration() uint64 {
	m.coreMu.Lock()
	defer m.coreMu.Unlock()
	return m.core.newestGeneration
}

// OnChange calls changed after every change of the members or of a generation.
// changed must return at once.
func (m *Membership) OnChange(changed func()) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	m.changeCallbacks = append(m.changeCallbacks[:len(m.changeCallbacks):len(m.changeCallbacks)], changed)
}

// Self returns the local host.
func (m *Membership) Self() host.Info { return m.config.Self }

// Members returns every known host that is not dead, ordered by ID.
func (m *Membership) Members() []host.Member {
	return append([]host.Member(nil), m.view.Load().members...)
}

// Lookup returns one member by ID.
func (m *Membership) Lookup(id host.ID) (host.Member, bool) {
	found, ok := m.view.Load().byID[id]
	return found, ok
}

// HasJoined reports whether this host has joined the fleet: it knows the hosts
// that started before it, and with them the facts that they publish. It returns
// true after ten seconds even if the host list still does not show this host.
func (m *Membership) HasJoined() bool {
	m.coreMu.Lock()
	defer m.coreMu.Unlock()
	return m.core.hasJoined(m.config.Now())
}

// Publish spreads a fact of the local host. See Gossip.
func (m *Membership) Publish(topic Topic, key string, payload []byte) error {
	var err error
	m.runStep(func(now time.Time) { err = m.core.publish(now, topic, key, payload) })
	return err
}

// Subscribe calls deliver for every fact of the topic that is already known, and
// for every later one. deliver must return at once.
func (m *Membership) Subscribe(topic Topic, deliver func(Fact)) {
	m.subscribersMu.Lock()
	existing := m.subscribers[topic]
	m.subscribers[topic] = append(existing[:len(existing):len(existing)], deliver)
	m.subscribersMu.Unlock()
	for _, f := range m.knownFacts(topic) {
		deliver(f)
	}
}

func (m *Membership) knownFacts(topic Topic) []Fact {
	m.coreMu.Lock()
	defer m.coreMu.Unlock()
	var facts []Fact
	for key, f := range m.core.facts.byKey {
		if key.topic == topic && key.from != m.config.Self.ID {
			facts = append(facts, Fact{From: f.From, Topic: f.Topic, Key: f.Key, Payload: f.Payload})
		}
	}
	return facts
}
