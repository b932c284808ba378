package voter

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/consensus"
)

// eventuallyTimeout bounds waits for events that must happen; no test depends on its value.
const eventuallyTimeout = 30 * time.Second

// register is a state machine that keeps every applied value in order.
type register struct {
	mutex  sync.Mutex
	values []string
}

func (r *register) Apply(_ uint64, data []byte) any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.values = append(r.values, string(data))
	return len(r.values)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var data []byte
	for _, value := range r.values {
		data = binary.AppendUvarint(data, uint64(len(value)))
		data = append(data, value...)
	}
	return data, nil
}

func (r *register) Restore(data []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.values = nil
	for len(data) > 0 {
		length, used := binary.Uvarint(data)
		r.values = append(r.values, string(data[used:used+int(length)]))
		data = data[used+int(length):]
	}
	return nil
}

func (r *register) all() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.values...)
}

// network delivers messages between voters of one process at once.
type network struct {
	mutex    sync.Mutex
	voters   map[uint64]*Voter
	isolated map[uint64]bool
}

type endpoint struct {
	network *network
	from    uint64
}

func (e endpoint) Send(to uint64, _ string, messages [][]byte) {
	e.network.mutex.Lock()
	target := e.network.voters[to]
	if e.network.isolated[to] || e.network.isolated[e.from] {
		target = nil
	}
	e.network.mutex.Unlock()
	if target != nil {
		target.Deliver(messages)
	}
}

// group is a set of voters whose data folders survive restarts.
type group struct {
	t         testing.TB
	network   *network
	folder    string
	initial   []consensus.Member
	machines  map[uint64]*register
	configure func(*Config)
}

func newGroup(t testing.TB, size int, adjust func(*Config)) *group {
	g := &group{
		t: t, folder: t.TempDir(), machines: map[uint64]*register{}, configure: adjust,
		network: &network{voters: map[uint64]*Voter{}, isolated: map[uint64]bool{}},
	}
	for id := uint64(1); id <= uint64(size); id++ {
		g.initial = append(g.initial, consensus.Member{ID: id, Address: address(id)})
	}
	for _, member := range g.initial {
		g.start(member.ID)
	}
	t.Cleanup(func() {
		for id := range g.machines {
			g.crash(id)
		}
	})
	return g
}

func address(id uint64) string { return fmt.Sprintf("127.0.0.1:%d", 7000+id) }

func (g *group) config(id uint64) Config {
	config := Config{ID: id, Address: address(id), Folder: filepath.Join(g.folder, fmt.Sprint(id)), Seed: id}
	if id <= uint64(len(g.initial)) {
		config.InitialVoters = g.initial
	}
	if g.configure != nil {
		g.configure(&config)
	}
	return config
}

func (g *group) start(id uint64) *Voter {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g.machines[id] = &register{}
	voter, err := Open(g.config(id), g.machines[id], endpoint{network: g.network, from: id}, logger, prometheus.NewRegistry())
	require.NoError(g.t, err)
	g.network.mutex.Lock()
	defer g.network.mutex.Unlock()
	g.network.voters[id] = voter
	return voter
}

// crash stops a voter without a leadership transfer.
func (g *group) crash(id uint64) {
	g.network.mutex.Lock()
	voter := g.network.voters[id]
	delete(g.network.voters, id)
	g.network.mutex.Unlock()
	if voter != nil {
		require.NoError(g.t, voter.halt())
	}
}

func (g *group) running() []*Voter {
	g.network.mutex.Lock()
	defer g.network.mutex.Unlock()
	var voters []*Voter
	for _, voter := range g.network.voters {
		voters = append(voters, voter)
	}
	return voters
}

// leader waits for a leader that is confirmed by a quorum and returns it.
func (g *group) leader() *Voter {
	var found *Voter
	require.Eventually(g.t, func() bool {
		for _, voter := range g.running() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := voter.ConfirmRead(ctx)
			confirmed := err == nil
			cancel()
			if confirmed {
				found = voter
				return true
			}
		}
		return false
	}, eventuallyTimeout, 10*time.Millisecond)
	return found
}

// propose retries a value with the current leader until it is committed.
func (g *group) propose(value string) {
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		_, err := g.leader().Propose(ctx, []byte(value))
		return err == nil
	}, eventuallyTimeout, time.Millisecond)
}

// requireValues waits until a voter has applied exactly the values.
func (g *group) requireValues(id uint64, values []string) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return len(g.machines[id].all()) >= len(values) }, eventuallyTimeout, 5*time.Millisecond)
	require.Equal(g.t, values, g.machines[id].all())
}
