package directory

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/quarantine"
)

// TestStandingsExpireAtTheLeader ages one record of each standing; a change of the standing
// restarts its age.
func TestStandingsExpireAtTheLeader(t *testing.T) {
	suspected := quarantine.Record{Fingerprint: quarantine.Fingerprint{1}}
	quarantined := quarantine.Record{Fingerprint: quarantine.Fingerprint{2}, Quarantined: true}
	records := []quarantine.Record{suspected, quarantined}
	start := time.Unix(1000, 0)
	ages := quarantineAges{}
	expired := func(after time.Duration) []quarantine.Fingerprint {
		return lo.Map(ages.expired(start.Add(after), records), func(o quarantine.Command, _ int) quarantine.Fingerprint {
			require.Equal(t, quarantine.Expire, o.Kind)
			return o.Fingerprint
		})
	}
	require.Empty(t, expired(0))
	require.Empty(t, expired(suspicionLifetime-1))
	require.Equal(t, []quarantine.Fingerprint{{1}}, expired(suspicionLifetime))
	records = records[1:]
	require.Empty(t, expired(quarantineLifetime-1))
	require.Equal(t, []quarantine.Fingerprint{{2}}, expired(quarantineLifetime))
	records[0].Quarantined = false
	require.Empty(t, expired(quarantineLifetime))
	require.Equal(t, []quarantine.Fingerprint{{2}}, expired(quarantineLifetime+suspicionLifetime))
	records = nil
	require.Empty(t, expired(2*quarantineLifetime))
	require.Empty(t, ages)
}
