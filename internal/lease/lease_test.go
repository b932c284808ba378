package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_000_000, 0)

func TestHolderIgnoresOlderGrants(t *testing.T) {
	var holder Holder
	grant := func(term, revision uint64, sentAt time.Time) Verdict {
		return holder.Offer(Grant{Term: term, Revision: revision, SentAt: sentAt, Duration: DefaultDuration})
	}
	require.Equal(t, NotInstalled, grant(3, 7, epoch))
	require.False(t, holder.Valid(epoch), "no lease before the revision is installed")
	require.True(t, holder.Install(7))
	require.Equal(t, Taken, grant(3, 7, epoch))
	until := holder.Until()
	require.Equal(t, epoch.Add(9950*time.Millisecond), until, "shortened by the drift bound")

	later := epoch.Add(time.Second)
	require.Equal(t, StaleTerm, grant(2, 8, later))
	require.Equal(t, StaleRevision, grant(3, 6, later))
	require.False(t, holder.Install(6))
	require.Equal(t, Empty, holder.Offer(Grant{Term: 3, Revision: 7, SentAt: later}))
	require.Equal(t, until, holder.Until())
	require.Equal(t, Taken, grant(4, 7, epoch.Add(-time.Second)), "a grant for an older call never shortens the lease")
	require.Equal(t, until, holder.Until())
	require.False(t, holder.Valid(until))
}

func TestReleasedChildIsIgnoredAndGetsNoMoreLeases(t *testing.T) {
	grantor := NewGrantor(time.Time{})
	child := ChildID{Name: "router-1", Boot: 1}
	grantor.Install(1)
	_, err := grantor.Grant(epoch, child, DefaultDuration)
	require.NoError(t, err)
	grantor.Install(2)
	require.EqualValues(t, 1, grantor.InEffect(epoch))
	grantor.Release(epoch, child, time.Minute)
	require.EqualValues(t, 2, grantor.InEffect(epoch))
	_, err = grantor.Grant(epoch, child, DefaultDuration)
	require.ErrorIs(t, err, ErrChildReleased, "a call sent before the release")
	_, err = grantor.Grant(epoch, ChildID{Name: "router-1", Boot: 2}, DefaultDuration)
	require.NoError(t, err)
}
