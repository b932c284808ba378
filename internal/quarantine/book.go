package quarantine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Bounds of a book.
const (
	// MaxTrials is how many trials of one request may be under way, or lost with the
	// routers that made them, before one has told its outcome.
	MaxTrials = 2
	// trialsThatEnd is how many trials have to end their servers until a request is
	// quarantined. However many servers end before, all may have ended together, as when a
	// rack is lost: a harmless request that runs everywhere is at each of them, and its first
	// trial may meet the last.
	trialsThatEnd = 2
	// MaxRecords bounds the requests of which there are records.
	MaxRecords = 256
	// keptServers bounds the names of ended servers that are kept of a request.
	keptServers = 8
)

// Kind is what an order asks for.
type Kind string

// Kinds of orders.
const (
	// Report tells of servers that ended under a request.
	Report Kind = "report"
	// Try asks for a trial of a suspected request.
	Try Kind = "try"
	// Return gives a trial back in which no server ran the request, or none ended.
	Return Kind = "return"
	// Clear tells that a server answered a suspected request.
	Clear Kind = "clear"
	// Lift ends suspicion or quarantine by an operator's order.
	Lift Kind = "lift"
	// Expire ends a suspicion that is old, and lets a request that was quarantined for
	// long be tried again.
	Expire Kind = "expire"
)

// Order is one change of a book.
type Order struct {
	Kind        Kind        `json:"kind"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Servers are those that ended, of a Report.
	Servers []string `json:"servers,omitempty"`
	// Tried says that they ended in a trial.
	Tried bool `json:"tried,omitempty"`
	// Route and Caller say where the request came from; By names who gives the order, and
	// At is when, by the clock of the node that took it. They decide nothing but which
	// record makes room for another.
	Route  string    `json:"route,omitempty"`
	Caller string    `json:"caller,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
}

// maxText bounds the texts of an order, bytes.
const maxText = 200

// Check returns an error if an order is not one that a book takes.
func (o Order) Check() error {
	if !slices.Contains([]Kind{Report, Try, Return, Clear, Lift, Expire}, o.Kind) {
		return errors.Newf("%.40q is no kind of order", o.Kind)
	}
	for _, text := range append([]string{o.Route, o.Caller, o.By}, o.Servers...) {
		if len(text) > maxText {
			return errors.Newf("a text of an order has more than %d bytes", maxText)
		}
	}
	return nil
}

// Standing says how a request is to be treated.
type Standing uint8

// Standings.
const (
	// Unknown requests are served like any.
	Unknown Standing = iota
	// Suspected ones are tried at one server first.
	Suspected
	// Quarantined ones are sent to no server.
	Quarantined
)

// String returns the standing in lower case.
func (s Standing) String() string { return [...]string{"unknown", "suspected", "quarantined"}[s] }

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Quarantined bool        `json:"quarantined,omitempty"`
	// Ended counts the servers that ended under it, Servers names the first of them.
	Ended   int      `json:"ended"`
	Servers []string `json:"servers"`
	// Trials are under way, or were lost with their routers.
	Trials int `json:"trials,omitempty"`
	// Tried names the servers that ended in trials, as many as quarantine takes.
	Tried  []string `json:"tried,omitempty"`
	Route  string   `json:"route"`
	Caller string   `json:"caller"`
	// By is who told first, At when.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// Standing returns that of the record's request.
func (r Record) Standing() Standing {
	if r.Quarantined {
		return Quarantined
	}
	return Suspected
}

// Book holds the records. Equal orders in equal sequence give equal books.
type Book struct {
	// Records are in the order in which their requests were first reported.
	Records []Record `json:"records,omitempty"`
	// Revision rises whenever a standing changes.
	Revision uint64 `json:"revision,omitempty"`
}

// Outcome is what an order did.
type Outcome struct {
	// Granted says that a trial may be made.
	Granted bool `json:"granted,omitempty"`
	// Before and After are the standings of the request around the order.
	Before Standing `json:"before"`
	After  Standing `json:"after"`
}

// Apply carries out an order. One about a request without a record, other than a Report,
// changes nothing.
func (b *Book) Apply(order Order) Outcome {
	at := b.find(order.Fingerprint)
	outcome := Outcome{Before: b.standing(at)}
	switch {
	case order.Kind == Report:
		b.report(at, order)
	case at < 0:
	case order.Kind == Try:
		outcome.Granted = b.try(&b.Records[at])
	case order.Kind == Return:
		b.Records[at].Trials = max(0, b.Records[at].Trials-1)
	case order.Kind == Expire && b.Records[at].Quarantined:
		// One more trial that ends its server quarantines it again.
		b.Records[at].Quarantined, b.Records[at].Trials = false, 0
		b.Records[at].Tried = b.Records[at].Tried[:min(len(b.Records[at].Tried), trialsThatEnd-1)]
	case order.Kind == Clear && b.Records[at].Quarantined:
		// Its answer is from before the quarantine, or from a router that does not know it.
	default:
		b.Records = slices.Delete(b.Records, at, at+1)
	}
	outcome.After = b.standing(b.find(order.Fingerprint))
	if outcome.After != outcome.Before {
		b.Revision++
	}
	return outcome
}

func (b *Book) find(fingerprint Fingerprint) int {
	return slices.IndexFunc(b.Records, func(r Record) bool { return r.Fingerprint == fingerprint })
}

func (b *Book) standing(at int) Standing {
	if at < 0 {
		return Unknown
	}
	return b.Records[at].Standing()
}

// report takes in that servers ended under a request, whose record is at a position; below 0
// for none.
func (b *Book) report(at int, order Order) {
	if at < 0 {
		b.makeRoom()
		b.Records = append(b.Records, Record{
			Fingerprint: order.Fingerprint, Route: order.Route, Caller: order.Caller, By: order.By, At: order.At,
		})
		at = len(b.Records) - 1
	}
	known := &b.Records[at]
	for _, server := range order.Servers {
		if slices.Contains(known.Servers, server) {
			continue
		}
		known.Ended++
		if len(known.Servers) < keptServers {
			// Readers may hold the former list.
			known.Servers = append(slices.Clone(known.Servers), server)
		}
	}
	if order.Tried {
		known.endTrial(order.Servers)
	}
}

// endTrial takes in that servers ended in a trial. One that is reported again counts once.
func (r *Record) endTrial(servers []string) {
	fresh := lo.Without(lo.Uniq(servers), r.Tried...)
	if len(fresh) == 0 {
		return
	}
	r.Trials = max(0, r.Trials-1)
	r.Tried = lo.Slice(slices.Concat(r.Tried, fresh), 0, trialsThatEnd)
	r.Quarantined = r.Quarantined || len(r.Tried) == trialsThatEnd
}

func (b *Book) try(tried *Record) bool {
	if tried.Quarantined || tried.Trials >= MaxTrials {
		return false
	}
	tried.Trials++
	return true
}

// makeRoom removes a record of the caller that has most of them, so that one with many
// such requests pushes out none of others: the oldest that is only suspected, else the
// oldest.
func (b *Book) makeRoom() {
	if len(b.Records) < MaxRecords {
		return
	}
	counts := make(map[string]int)
	most := b.Records[0].Caller
	for _, held := range b.Records {
		counts[held.Caller]++
	}
	for _, held := range b.Records {
		if counts[held.Caller] > counts[most] {
			most = held.Caller
		}
	}
	at := slices.IndexFunc(b.Records, func(r Record) bool { return r.Caller == most && !r.Quarantined })
	if at < 0 {
		at = slices.IndexFunc(b.Records, func(r Record) bool { return r.Caller == most })
	}
	b.Records = slices.Delete(b.Records, at, at+1)
	b.Revision++
}

// Entry is a record as routers are told of it.
type Entry struct {
	Fingerprint Fingerprint `json:"f"`
	Quarantined bool        `json:"q,omitempty"`
}

// Entries returns all records as routers are told of them.
func (b *Book) Entries() []Entry {
	entries := make([]Entry, 0, len(b.Records))
	for _, held := range b.Records {
		entries = append(entries, Entry{Fingerprint: held.Fingerprint, Quarantined: held.Quarantined})
	}
	return entries
}
