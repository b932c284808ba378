package incident

import (
	_ "embed"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/samber/lo"
)

//go:embed page.html
var pageText string

// page is what the template shows.
type page struct {
	*Report
	Headline   string
	Open, Over []*Incident
	Timeline   timeline
	Affected   bars
	location   *time.Location
	clock      func(time.Time) string
}

// HTML writes the report as one page with plots that needs nothing else: no
// network, no script.
func (r *Report) HTML(out io.Writer, location *time.Location) error {
	shown := &page{
		Report: r, Headline: r.Headline(), Open: r.Open(),
		Over:     lo.Reject(r.Failures, func(one *Incident, _ int) bool { return one.Open() }),
		Timeline: timelineOf(r, location), Affected: barsOf(r, location),
		location: location, clock: clockOf(r, location),
	}
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"words": words,
		"join":  func(names []string) string { return strings.Join(names, " ") },
		"page":  func(name string) string { return operatorsPages + name },
	}).Parse(pageText)
	if err != nil {
		return err
	}
	return parsed.Execute(out, shown)
}

// Clock writes a time of the window.
func (p *page) Clock(moment time.Time) string { return p.clock(moment) }

// Last writes the last time of what happened several times.
func (p *page) Last(moment Moment) string { return moment.last(p.clock) }

// Full writes a time with its date.
func (p *page) Full(moment time.Time) string { return fullTime(moment, p.location) }

// For writes how long an incident lasted.
func (p *page) For(one *Incident) string { return one.Lasted(p.Until).Round(time.Second).String() }

// shownInPage is how many incidents of a class, and how many moments in all, a
// page lists.
const (
	shownInPage        = 100
	momentsShownInPage = 300
)

// incidentTable is what the template of a table shows.
type incidentTable struct {
	Page *page
	List []*Incident
	// Hidden is how many incidents were left out.
	Hidden int
}

// Table joins incidents with the page, which knows how to write times.
func (p *page) Table(list []*Incident) incidentTable {
	shown := map[Class]int{}
	listed := lo.Filter(list, func(one *Incident, _ int) bool {
		shown[one.Class]++
		return shown[one.Class] <= shownInPage
	})
	return incidentTable{Page: p, List: listed, Hidden: len(list) - len(listed)}
}

// ShownMoments are the first of the moments.
func (p *page) ShownMoments() []Moment { return p.Moments[:min(len(p.Moments), momentsShownInPage)] }
