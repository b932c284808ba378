package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// soakRepeats is a listener whose connections send, while their server has the trouble
// soakSurplus, each answer once more in the place of the next one.
type soakRepeats struct {
	net.Listener
	server *soakServer
}

func (l soakRepeats) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &soakRepeater{Conn: accepted, server: l.server}, nil
}

// soakRepeater is such a connection. Answers are short, so that each is one write.
type soakRepeater struct {
	net.Conn
	server *soakServer
	last   []byte
}

func (c *soakRepeater) Write(answer []byte) (int, error) {
	sent := answer
	if *c.server.trouble.Load() == soakSurplus {
		sent = slices.Concat(c.last, answer)
	}
	c.last = slices.Clone(answer)
	if _, err := c.Conn.Write(sent); err != nil {
		return 0, err
	}
	return len(answer), nil
}

// Parts of soakDocument: the service of the route whose requests may not be repeated, and that
// route's settings for it.
const (
	soakOnceService = "b"
	soakOnceServers = `"backend":"b","max_attempts":2`
)

// soakRepeatsTime is how long all servers repeat their answers.
const soakRepeatsTime = 8 * time.Second

// TestRepeatedAnswersBreakNoPromise guards against requests that may not be repeated and run twice,
// or run after their clients were told that they have not: real processes serve clients while the
// servers of a service refuse half of the requests and send each answer once more in the place of
// the next.
func TestRepeatedAnswersBreakNoPromise(t *testing.T) {
	site := startSoakSite(t)
	// With one server for each request a refused one is sent to the same server again.
	site.document = strings.Replace(soakDocument, soakOnceServers, strings.Replace(soakOnceServers, "2", "1", 1), 1)
	require.Eventually(t, func() bool { return site.putNext(0) }, soakFormingTime, 100*time.Millisecond, "no document is taken")
	site.requireServing("at the start")
	for _, server := range site.allServers(soakOnceService) {
		server.behave(soakSurplus)
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakRepeatsTime)
	defer cancel()
	var clients sync.WaitGroup
	for number := range soakClients * *soakRouters {
		clients.Go(func() { site.client(ctx, number) })
	}
	clients.Wait()
	site.requireNoOwnEnds()
	t.Log(site.records.summary(0))
	require.Empty(t, site.records.violations())
}

// TestSoakServerRepeatsItsAnswers checks the trouble itself: answers come once more in the place
// of the next ones, and refusals are among them.
func TestSoakServerRepeatsItsAnswers(t *testing.T) {
	site := &soakSite{t: t, servers: map[string][]*soakServer{}}
	server := site.startServer("a", 1)
	t.Cleanup(server.stop)
	server.behave(soakSurplus)
	conn, err := net.Dial("tcp4", server.link.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	answers := bufio.NewReader(conn)
	statuses := map[int]int{}
	last := ""
	for number := range 40 {
		id := fmt.Sprint("r", number)
		require.NoError(t, heldRequest(t, server, id, time.Second).Write(conn))
		if last != "" {
			require.Equal(t, last, readAnswer(t, answers).Header.Get("X-Request-Id"))
		}
		answer := readAnswer(t, answers)
		require.Equal(t, id, answer.Header.Get("X-Request-Id"))
		statuses[answer.StatusCode]++
		last = id
	}
	require.Len(t, statuses, 2, "answers and refusals: %v", statuses)
	require.NotZero(t, statuses[http.StatusServiceUnavailable])
}

// readAnswer reads an answer with its body.
func readAnswer(t *testing.T, reader *bufio.Reader) *http.Response {
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	return answer
}
