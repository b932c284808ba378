package main

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// defaultLease is the lease of control's default settings.
const defaultLease = 10 * time.Second

// admission is the outcome of one query, by the time it was sent.
type admission struct {
	sent  time.Time
	reply reply
}

// admissions asks a router without a pause until done is closed.
func (s *routerSite) admissions(router int, done <-chan struct{}) []admission {
	var all []admission
	for {
		select {
		case <-done:
			return all
		case <-time.After(5 * time.Millisecond):
			sent := time.Now()
			all = append(all, admission{sent: sent, reply: post(s.routers[router].address, "/v1/routes/find/query", "")})
		}
	}
}

// TestNoAdmissionBeyondTheLease stops every voter without a word, in one case so
// that its sockets stay open and answer nothing, in the other by a kill. Routers
// serve on until their lease runs out, admit nothing later, say truly that
// nothing ran, and serve again once there is a quorum.
func TestNoAdmissionBeyondTheLease(t *testing.T) {
	t.Parallel()
	ways := map[string]struct{ cut, heal func(*routerSite) }{
		"silent": {
			cut:  func(s *routerSite) { s.signalVoters(syscall.SIGSTOP) },
			heal: func(s *routerSite) { s.signalVoters(syscall.SIGCONT) },
		},
		"killed": {
			cut: func(s *routerSite) {
				for _, voter := range s.voters {
					voter.end(s.t, syscall.SIGKILL)
				}
			},
			heal: func(s *routerSite) {
				for _, voter := range s.voters {
					voter.start(s.t)
				}
			},
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := newRouterSite(t, 2, time.Millisecond)
			done := make(chan struct{})
			gathered := make([][]admission, len(site.routers))
			var asking sync.WaitGroup
			for index := range site.routers {
				asking.Go(func() { gathered[index] = site.admissions(index, done) })
			}
			way.cut(site)
			cut := time.Now()
			time.Sleep(defaultLease + 2*time.Second)
			healed := time.Now()
			way.heal(site)
			for _, started := range site.routers {
				site.awaitServing(started)
			}
			close(done)
			asking.Wait()
			for index, list := range gathered {
				site.checkAdmissions(list, index, cut, healed)
			}
		})
	}
}

func (s *routerSite) checkAdmissions(list []admission, router int, cut, healed time.Time) {
	var last, again time.Time
	refused := 0
	for _, one := range list {
		served := one.reply.status == http.StatusOK
		if !served {
			require.Equal(s.t, "not_run", one.reply.verdict, "%+v", one.reply)
			refused++
		}
		switch {
		case served && one.sent.Before(healed):
			last = one.sent
		case served && again.IsZero():
			again = one.sent
		}
	}
	require.NotZero(s.t, refused)
	require.True(s.t, last.After(cut), "it serves on for a while")
	// Sent before it was admitted, so that a slow machine can't make this fail.
	require.LessOrEqual(s.t, last.Sub(cut), defaultLease)
	s.t.Logf("router %d: last admission %s after the cut, first one %s after the voters went on; %d of %d refused",
		router, last.Sub(cut), again.Sub(healed), refused, len(list))
}
