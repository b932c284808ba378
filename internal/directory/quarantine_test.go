package directory_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
)

func fingerprintOf(target string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&message.Request{Method: "GET", Target: target})
}

// sendOrders sends orders until some node has applied them.
func (c *cluster) sendOrders(orders ...quarantine.Command) (reply directory.QuarantineReply) {
	c.t.Helper()
	c.eventually("no node applies the orders", func(node *runningNode) bool {
		var err error
		reply, err = node.Quarantine(context.Background(), directory.QuarantineOrders{Orders: orders})
		return err == nil
	})
	return reply
}

// sendNewOrders sends the orders about a request until some node acknowledges them, each time about
// another request, since orders without an acknowledgement may have been applied. It returns the
// path of the acknowledged one and how many were sent.
func (c *cluster) sendNewOrders(orders func(target string) []quarantine.Command) (target string, sent int, reply directory.QuarantineReply) {
	c.t.Helper()
	c.eventually("no node applies the orders", func(node *runningNode) bool {
		var err error
		sent++
		target = "/a" + strconv.Itoa(sent)
		reply, err = node.Quarantine(context.Background(), directory.QuarantineOrders{Orders: orders(target)})
		return err == nil
	})
	return target, sent, reply
}

// hasStanding reports whether a node reports a request's standing to a router.
func hasStanding(fingerprint quarantine.Fingerprint, standing quarantine.Status) func(*runningNode) bool {
	return func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		if err != nil {
			return false
		}
		var view quarantine.View
		view.Update(reply.QuarantineRevision, reply.QuarantineEntries)
		return view.Status(fingerprint) == standing
	}
}

func quarantined(target string) []quarantine.Command {
	return []quarantine.Command{
		{Kind: quarantine.Report, Fingerprint: fingerprintOf(target), Servers: []string{"i-1", "i-2"}, Route: "r", Caller: "10.0.0.9", By: "g"},
		{Kind: quarantine.Try, Fingerprint: fingerprintOf(target), By: "g"},
		{Kind: quarantine.Report, Fingerprint: fingerprintOf(target), Servers: []string{"i-3"}, Tried: true, By: "g"},
		{Kind: quarantine.Try, Fingerprint: fingerprintOf(target), By: "g"},
		{Kind: quarantine.Report, Fingerprint: fingerprintOf(target), Servers: []string{"i-4"}, Tried: true, By: "g"},
	}
}

func TestQuarantineIsReportedByAllNodesAndLiftedByAnOperator(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	target, sent, reply := c.sendNewOrders(quarantined)
	require.True(t, reply.Outcomes[1].Granted)
	require.Equal(t, quarantine.Suspected, reply.Outcomes[2].After)
	require.True(t, reply.Outcomes[3].Granted)
	require.Equal(t, quarantine.Quarantined, reply.Outcomes[4].After)
	c.eventuallyEverywhere("not reported", hasStanding(fingerprintOf(target), quarantine.Quarantined))

	book, err := directory.ListQuarantine(context.Background(), c.addresses[0])
	require.NoError(t, err)
	require.LessOrEqual(t, len(book.Records), sent)
	record, found := lo.Find(book.Records, func(r quarantine.Record) bool { return r.Fingerprint == fingerprintOf(target) })
	require.True(t, found)
	require.Equal(t, []string{"i-1", "i-2", "i-3", "i-4"}, record.Servers)
	require.Equal(t, "10.0.0.9", record.Caller)
	require.False(t, record.At.IsZero())

	before, err := directory.LiftQuarantine(context.Background(), c.addresses[1], fingerprintOf(target), "operator")
	require.NoError(t, err)
	require.Equal(t, quarantine.Quarantined, before)
	c.eventuallyEverywhere("not lifted", hasStanding(fingerprintOf(target), quarantine.Unknown))
	before, err = directory.LiftQuarantine(context.Background(), c.addresses[1], fingerprintOf(target), "operator")
	require.NoError(t, err)
	require.Equal(t, quarantine.Unknown, before)
}

func TestQuarantineSurvivesTheLossOfTwoDisksAndARestartOfAll(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.sendOrders(quarantined("/a")...)
	for index := range c.nodes {
		c.stop(index)
	}
	c.wipe(0)
	c.wipe(1)
	c.startAll(false)
	c.eventuallyEverywhere("lost", hasStanding(fingerprintOf("/a"), quarantine.Quarantined))
}

func TestOrdersThatCannotBeReadAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll(true)
	var invalid *routing.InvalidError
	for _, orders := range [][]quarantine.Command{nil, {{Kind: "other"}}, make([]quarantine.Command, 300)} {
		_, err := c.nodes[0].Quarantine(context.Background(), directory.QuarantineOrders{Orders: orders})
		require.ErrorAs(t, err, &invalid)
	}
}
