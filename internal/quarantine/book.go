package quarantine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Bounds of the ledger.
const (
	// MaxTrials is the maximum number of trials of one request without a reported outcome.
	MaxTrials = 2
	// trialFailuresToQuarantine is the number of trials whose servers terminate after which a
	// request is quarantined. Terminations outside trials don't count: servers may fail together,
	// as when a rack is lost, while a harmless request runs on all of them. One trial is not
	// enough either, since the first may run on the last server of that rack.
	trialFailuresToQuarantine = 2
	// answeredFailuresToQuarantine applies instead to a request that servers answered shortly
	// before: it does not end every server that runs it, while a service may crash for other
	// reasons again and again, each time under its most frequent request.
	answeredFailuresToQuarantine = 8
	// MaxRecords is the maximum number of requests with a record.
	MaxRecords = 256
	// maxServerNames is the maximum number of terminated servers that a record names.
	maxServerNames = 8
)

// Kind is the kind of a command.
type Kind string

// Kinds of commands.
const (
	// Report reports servers that terminated while they ran a request.
	Report Kind = "report"
	// Try requests a trial of a suspected request.
	Try Kind = "try"
	// Return releases a trial in which no server ran the request, or none terminated.
	Return Kind = "return"
	// Clear ends a suspicion because a server answered the request.
	Clear Kind = "clear"
	// Lift ends a suspicion or quarantine on an operator's request.
	Lift Kind = "lift"
	// Expire ends an old suspicion, and turns an old quarantine back into a suspicion so
	// that the request can be tried again.
	Expire Kind = "expire"
)

// Command is a command that changes the ledger.
type Command struct {
	Kind        Kind        `json:"kind"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Servers are the terminated servers of a Report.
	Servers []string `json:"servers,omitempty"`
	// Tried reports whether they terminated in a trial.
	Tried bool `json:"tried,omitempty"`
	// Answered reports whether a server had answered the same request shortly before.
	Answered bool `json:"answered,omitempty"`
	// Route and Caller identify the origin of the request, By the issuer of the command, and
	// At its time by the clock of the node that accepted it. They affect which record
	// is evicted when the ledger is full, and how long trials last.
	Route  string    `json:"route,omitempty"`
	Caller string    `json:"caller,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
	// Start identifies the start of the issuer; 0 if it does not tell. A trial is held by a start:
	// it ends with it.
	Start uint64 `json:"start,omitempty"`
}

// maxTextBytes is the maximum length of each text field of a command.
const maxTextBytes = 200

// Check returns an error if the command is invalid.
func (o Command) Check() error {
	if !slices.Contains([]Kind{Report, Try, Return, Clear, Lift, Expire}, o.Kind) {
		return errors.Newf("%.40q is no kind of order", o.Kind)
	}
	for _, text := range append([]string{o.Route, o.Caller, o.By}, o.Servers...) {
		if len(text) > maxTextBytes {
			return errors.Newf("a text of an order has more than %d bytes", maxTextBytes)
		}
	}
	return nil
}

// Status is the status of a request, which determines how routers handle it.
type Status uint8

// Statuses of a request.
const (
	// Unknown requests are served without restriction.
	Unknown Status = iota
	// Suspected requests are sent to a single server first, as a trial.
	Suspected
	// Quarantined requests are not sent to any server.
	Quarantined
)

// String returns the status in lower case.
func (s Status) String() string { return [...]string{"unknown", "suspected", "quarantined"}[s] }

// Record is the state of one suspected or quarantined request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Quarantined bool        `json:"quarantined,omitempty"`
	// Ended counts the servers that terminated while they ran the request; Servers names
	// the first of them.
	Ended   int      `json:"ended"`
	Servers []string `json:"servers"`
	// Trials counts the trials that are in flight. Grants names the holders of those that were
	// requested with a start.
	Trials int     `json:"trials,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
	// Tried names the servers that terminated in trials, one for each occasion, up to the number
	// that quarantines the request.
	Tried []string `json:"tried,omitempty"`
	// Answered reports whether servers answered the request shortly before they terminated.
	Answered bool   `json:"answered,omitempty"`
	Route    string `json:"route"`
	Caller   string `json:"caller"`
	// By is the node that reported the request first, At the time of that report.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// Status returns the status of the record's request.
func (r Record) Status() Status {
	if r.Quarantined {
		return Quarantined
	}
	return Suspected
}

// Ledger is the ledger of records: a deterministic state machine, so that replicas that apply
// the same commands in the same order hold the same state.
type Ledger struct {
	// Records are in the order in which their requests were first reported.
	Records []Record `json:"records,omitempty"`
	// Revision increases whenever the status of a request changes.
	Revision uint64 `json:"revision,omitempty"`
}

// Outcome is the result of a command.
type Outcome struct {
	// Granted reports whether the requested trial may run.
	Granted bool `json:"granted,omitempty"`
	// Before and After are the statuses of the request before and after the command.
	Before Status `json:"before"`
	After  Status `json:"after"`
}

// Apply executes a command. For a request without a record, only a Report has an effect.
func (b *Ledger) Apply(command Command) Outcome {
	index := b.indexOf(command.Fingerprint)
	outcome := Outcome{Before: b.statusAt(index)}
	switch {
	case command.Kind == Report:
		b.applyReport(index, command)
	case index < 0:
	case command.Kind == Try:
		outcome.Granted = b.Records[index].grantTrial(command)
	case command.Kind == Return:
		b.Records[index].endTrial(command)
	case command.Kind == Expire && b.Records[index].Quarantined:
		// A single further trial whose server terminates quarantines the request again.
		b.Records[index].Quarantined, b.Records[index].Trials, b.Records[index].Grants = false, 0, nil
		b.Records[index].Tried = b.Records[index].Tried[:min(len(b.Records[index].Tried), failuresToQuarantine(b.Records[index].Answered)-1)]
	case command.Kind == Clear && b.Records[index].Quarantined:
		// Ignored: the answer predates the quarantine, or the router has not learned of it yet.
	default:
		b.Records = slices.Delete(b.Records, index, index+1)
	}
	outcome.After = b.statusAt(b.indexOf(command.Fingerprint))
	if outcome.After != outcome.Before {
		b.Revision++
	}
	return outcome
}

func (b *Ledger) indexOf(fingerprint Fingerprint) int {
	return slices.IndexFunc(b.Records, func(r Record) bool { return r.Fingerprint == fingerprint })
}

func (b *Ledger) statusAt(index int) Status {
	if index < 0 {
		return Unknown
	}
	return b.Records[index].Status()
}

// applyReport adds terminated servers to the record at index, or to a new record if index is
// negative.
func (b *Ledger) applyReport(index int, command Command) {
	if index < 0 {
		b.evict()
		b.Records = append(b.Records, Record{
			Fingerprint: command.Fingerprint, Route: command.Route, Caller: command.Caller, By: command.By, At: command.At,
		})
		index = len(b.Records) - 1
	}
	record := &b.Records[index]
	record.Answered = record.Answered || command.Answered
	for _, server := range command.Servers {
		if slices.Contains(record.Servers, server) {
			continue
		}
		record.Ended++
		if len(record.Servers) < maxServerNames {
			// Copied because readers may still hold the previous slice.
			record.Servers = append(slices.Clone(record.Servers), server)
		}
	}
	if command.Tried {
		record.addTrialFailure(command)
	}
}

// addTrialFailure records servers that terminated in a trial. Repeated reports of a server
// count once.
func (r *Record) addTrialFailure(report Command) {
	newServers := lo.Without(lo.Uniq(report.Servers), r.Tried...)
	if len(newServers) == 0 {
		return
	}
	if r.endTrial(report) {
		return
	}
	limit := failuresToQuarantine(r.Answered)
	r.Tried = lo.Slice(slices.Concat(r.Tried, newServers), 0, limit)
	r.Quarantined = r.Quarantined || len(r.Tried) == limit
	r.markOverlapping()
}

// failuresToQuarantine returns how many trials whose servers terminate quarantine a request.
func failuresToQuarantine(answered bool) int {
	if answered {
		return answeredFailuresToQuarantine
	}
	return trialFailuresToQuarantine
}

// evict makes space in a full ledger by removing a record of the caller with the most
// records, so that one caller cannot evict the records of others: its oldest suspected
// record, or else its oldest.
func (b *Ledger) evict() {
	if len(b.Records) < MaxRecords {
		return
	}
	counts := make(map[string]int)
	largestCaller := b.Records[0].Caller
	for _, record := range b.Records {
		counts[record.Caller]++
	}
	for _, record := range b.Records {
		if counts[record.Caller] > counts[largestCaller] {
			largestCaller = record.Caller
		}
	}
	index := slices.IndexFunc(b.Records, func(r Record) bool { return r.Caller == largestCaller && !r.Quarantined })
	if index < 0 {
		index = slices.IndexFunc(b.Records, func(r Record) bool { return r.Caller == largestCaller })
	}
	b.Records = slices.Delete(b.Records, index, index+1)
	b.Revision++
}

// Entry is the part of a record that is published to routers.
type Entry struct {
	Fingerprint Fingerprint `json:"f"`
	Quarantined bool        `json:"q,omitempty"`
}

// Entries returns all records in the form published to routers.
func (b *Ledger) Entries() []Entry {
	entries := make([]Entry, 0, len(b.Records))
	for _, record := range b.Records {
		entries = append(entries, Entry{Fingerprint: record.Fingerprint, Quarantined: record.Quarantined})
	}
	return entries
}
