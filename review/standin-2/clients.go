package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id      string
	front   string
	path    string
	sentAt  time.Time
	status  int // 0 for none
	stamped bool
	text    string
}

// load is what clients send: requests at a rate, each tried again once on another connection.
type load struct {
	site     *site
	host     string
	rate     float64
	deadline time.Duration
	path     func() string

	mutex   sync.Mutex
	answers []answer
	running sync.WaitGroup
}

// run sends requests until the end, and waits for their answers.
func (l *load) run(end time.Time) {
	for time.Now().Before(end) {
		l.running.Go(l.request)
		time.Sleep(time.Duration(rand.ExpFloat64() / l.rate * float64(time.Second)))
	}
	l.running.Wait()
}

// request sends one request, and once more if the pages allow that.
func (l *load) request() {
	began, path := time.Now(), l.path()
	first := rand.IntN(len(l.site.fronts))
	for try := range 2 {
		left := l.deadline - time.Since(began)
		given := l.attempt(l.site.fronts[(first+try)%len(l.site.fronts)], path, left)
		switch given.status {
		case http.StatusOK, http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
			return
		}
		pause, _ := strconv.ParseFloat(given.text, 64)
		time.Sleep(min(time.Duration(pause*float64(time.Second)), (l.deadline-time.Since(began))/3))
	}
}

var transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}

// attempt sends one attempt; the text of a refusal's answer is the time after which to come back.
func (l *load) attempt(front, path string, left time.Duration) answer {
	given := answer{id: fmt.Sprintf("%016x", rand.Uint64()), front: front, path: path, sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodGet, "http://"+front+path, nil)
	if err != nil {
		return given
	}
	request.Host = l.host
	request.Header.Set("X-Request-Id", given.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	response, err := (&http.Client{Transport: transport, Timeout: left}).Do(request)
	body := ""
	if err == nil {
		read, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			given.status, given.stamped = response.StatusCode, response.Header.Get("X-Server-Stamp") != ""
			given.text, body = response.Header.Get("Retry-After"), string(read)
		}
	}
	if given.status == http.StatusOK {
		body = fmt.Sprintf("%d bytes", len(body))
	}
	l.site.record.add("client: %s %s%s -> %s: status %d stamped %v retry-after %q %s", given.id, l.host, path, front, given.status, given.stamped, given.text, strings.TrimSpace(body))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, given)
	return given
}

// counts returns how many attempts ended how, in a span of time of their sending.
func (l *load) counts(from, to time.Time) map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make(map[string]int)
	for _, given := range l.answers {
		if given.sentAt.Before(from) || !given.sentAt.Before(to) {
			continue
		}
		counts["all"]++
		key := strconv.Itoa(given.status)
		if given.stamped {
			key += " of a server"
		}
		counts[key]++
		if given.deniedByRouter() {
			counts["denied"]++
		}
	}
	return counts
}

// deniedByRouter reports a 3xx or 4xx of a router's own, but for those that the rule excepts.
func (a answer) deniedByRouter() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return a.status >= 300 && a.status < 500 && !a.stamped
}
