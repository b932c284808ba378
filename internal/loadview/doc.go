// Package loadview holds the view of load that all routers of a registered site share: what
// clients ask of each route, which services are short of capacity, and which servers are slow,
// refuse work or are silent. Routers report what they observe (Report), each directory node adds
// up the reports of its routers (Collector, Summary), the leader adds up the summaries of all
// nodes (Merger, Totals) and publishes one View. Figures carry their age and lose their weight
// with it.
//
// The package does no I/O and reads no clock.
package loadview
