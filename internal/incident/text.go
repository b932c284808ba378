package incident

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
)

const (
	// shownPerClass is how many incidents of a class, or moments of a kind, a
	// page lists. All of them are in the JSON form.
	shownPerClass = 10
	// operatorsPages is where the pages that tasks name are.
	operatorsPages = "docs/operate/"
)

// printer writes lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, arguments...)
	}
}

// Text writes the report for a terminal, with times of a location.
func (r *Report) Text(out io.Writer, location *time.Location) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := &printer{out: table}
	clock := clockOf(r, location)
	p.printf("Report of %s to %s\n%s\n", fullTime(r.Since, location), fullTime(r.Until, location), r.Headline())
	if r.Dropped > 0 {
		p.printf("The journal is bounded and has dropped %d older events since it began.\n", r.Dropped)
	}
	p.tasks(r.Tasks)
	p.incidents("STILL BROKEN", r.Open(), r.Until, clock)
	p.incidents("WHAT FAILED AND IS OVER", lo.Reject(r.Failures, func(one *Incident, _ int) bool { return one.Open() }), r.Until, clock)
	p.answers(r.Answers, clock)
	p.moments(r.Moments, clock)
	p.incidents("PLANNED DEPARTURES OF BACK ENDS", r.Drains, r.Until, clock)
	if p.err != nil {
		return p.err
	}
	return table.Flush()
}

// Headline sums the report up in a sentence or two.
func (r *Report) Headline() string {
	open := len(r.Open())
	text := fmt.Sprintf("%s, %s.", counted(open, "incident goes on", "incidents go on"),
		counted(len(r.Failures)-open, "is over", "are over"))
	if count := r.AnswerCount(); count > 0 {
		text += fmt.Sprintf(" %d answers or refusals were short of the policies.", count)
	} else {
		text += " No answer was short of its policy."
	}
	return text
}

func counted(count int, one, more string) string {
	return fmt.Sprintf("%d %s", count, lo.Ternary(count == 1, one, more))
}

func fullTime(moment time.Time, location *time.Location) string {
	return moment.In(location).Format("2006-01-02 15:04 -0700")
}

// clockOf returns how times are written: without the date where one day's clock
// is enough to tell them apart.
func clockOf(r *Report, location *time.Location) func(time.Time) string {
	const day = 24 * time.Hour
	layout := "15:04:05"
	if r.Until.Sub(r.Since) >= day {
		layout = "01-02 15:04:05"
	}
	return func(moment time.Time) string {
		if moment.Before(r.Since) {
			return moment.In(location).Format("2006-01-02 15:04")
		}
		return moment.In(location).Format(layout)
	}
}

func (p *printer) tasks(tasks []Task) {
	if len(tasks) == 0 {
		p.printf("\nNothing is left to do.\n")
		return
	}
	p.printf("\nTO DO\n")
	for index, task := range tasks {
		p.printf("%2d. %s:\n    %s\n    (%s%s)\n", index+1, task.About, task.Do, operatorsPages, task.Page)
	}
}

func (p *printer) incidents(title string, found []*Incident, until time.Time, clock func(time.Time) string) {
	if len(found) == 0 {
		return
	}
	p.printf("\n%s\nBEGUN\tENDED\tFOR\tWHAT\tWHERE\tEPISODES\tEVENTS\tSEEN BY\n", title)
	shown := map[Class]int{}
	for _, one := range found {
		if shown[one.Class]++; shown[one.Class] > shownPerClass {
			continue
		}
		ended := "goes on"
		if !one.Open() {
			ended = clock(one.Ended)
		}
		p.printf("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", clock(one.Begun), ended, one.Lasted(until).Round(time.Second),
			one.Class, one.About(), one.Episodes, one.Count, witnesses(one.Witnesses))
	}
	p.more(shown)
}

// more says what was left out.
func (p *printer) more(shown map[Class]int) {
	for _, known := range append(lo.Map(advices, func(one advice, _ int) Class { return one.class }), ClaimRefused, ShortAnswers, Restarts, Drain, UpstreamLost) {
		if left := shown[known] - shownPerClass; left > 0 {
			p.printf("and %d more: %s (--json lists them)\n", left, known)
		}
	}
}

func witnesses(names []string) string {
	const named = 3
	if len(names) <= named {
		return strings.Join(names, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:named], " "), len(names)-named)
}

func (p *printer) answers(all []Answers, clock func(time.Time) string) {
	if len(all) == 0 {
		return
	}
	p.printf("\nANSWERS AFFECTED\nSERVICE\tROUTE\tOUTCOME\tCOUNT\tFIRST\tLAST\tMISSING FIRST\n")
	for _, answers := range all {
		p.printf("%s\t%s\t%s\t%d\t%s\t%s\t%s\n", answers.Service, answers.Route, answers.Outcome, answers.Count,
			clock(answers.Begun), clock(answers.Last), witnesses(answers.Shards))
	}
}

func (p *printer) moments(all []Moment, clock func(time.Time) string) {
	if len(all) == 0 {
		return
	}
	p.printf("\nWHAT THE SYSTEM AND ITS OPERATORS DID\nFIRST\tLAST\tWHAT\tTIMES\tBY\tDETAIL\n")
	shown := map[journal.Kind]int{}
	for _, moment := range all {
		if shown[moment.Kind]++; shown[moment.Kind] > shownPerClass {
			continue
		}
		p.printf("%s\t%s\t%s\t%d\t%s\t%s\n", clock(moment.Time), moment.last(clock), words(moment.Kind), moment.Count, moment.Source,
			strings.TrimSpace(moment.Address+" "+moment.Detail))
	}
	for _, kind := range []journal.Kind{
		journal.KindLeaderChanged, journal.KindVoterReplaced, journal.KindChangeAccepted,
		journal.KindChangeRefused, journal.KindRestarted,
	} {
		if left := shown[kind] - shownPerClass; left > 0 {
			p.printf("and %d more: %s (--json lists them)\n", left, words(kind))
		}
	}
}

// last writes the last time of what happened several times.
func (m Moment) last(clock func(time.Time) string) string {
	if !m.LastTime.After(m.Time) {
		return ""
	}
	return clock(m.LastTime)
}

// words writes a kind as people read it.
func words(kind journal.Kind) string { return strings.ReplaceAll(string(kind), "_", " ") }
