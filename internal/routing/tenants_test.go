package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/routing"
)

func TestTenantsThatShareAKeyAreNamedWithoutIt(t *testing.T) {
	shared := testDocument()
	shared.Tenants = []routing.Tenant{{Name: "one", Keys: []string{"a", "secret"}}, {Name: "two", Keys: []string{"secret"}}}
	var invalid *routing.InvalidError
	require.ErrorAs(t, shared.Check(), &invalid)
	require.Contains(t, invalid.Error(), `"one"`)
	require.Contains(t, invalid.Error(), `"two"`)
	require.NotContains(t, invalid.Error(), "secret")
}

func TestCheckRefusesTenantsThatCanNotBeTold(t *testing.T) {
	for name, tenants := range map[string][]routing.Tenant{
		"no name":        {{Keys: []string{"a"}}},
		"name twice":     {{Name: "one"}, {Name: "one"}},
		"negative rate":  {{Name: "one", Rate: -1}},
		"negative burst": {{Name: "one", Burst: -1}},
	} {
		spoiled := testDocument()
		spoiled.Tenants = tenants
		var invalid *routing.InvalidError
		require.ErrorAs(t, spoiled.Check(), &invalid, name)
	}
	sound := testDocument()
	sound.Tenants = []routing.Tenant{{Name: "one", Keys: []string{"a", "a"}}, {Name: "two"}}
	require.NoError(t, sound.Check(), "a tenant may name a key twice, or have none")
}

func TestKeysFindTheirTenantAndStayNowhere(t *testing.T) {
	held := testDocument()
	long := fmt.Sprintf("%0500d", 7)
	held.Tenants = []routing.Tenant{{Name: "one", Keys: []string{"a", "b", long}}, {Name: "two", Keys: []string{"c"}}}
	table := routing.NewTable(held, routing.KeySeed{1})
	for key, want := range map[string]string{"a": "one", "b": "one", "c": "two", long: "one"} {
		require.Equal(t, want, table.TenantOf(key).Name)
	}
	for _, unknown := range []string{"", "A", "ab", long[1:]} {
		require.Nil(t, table.TenantOf(unknown), unknown)
	}
	require.NotContains(t, fmt.Sprintf("%+v", table.Document()), long)
	require.True(t, table.NeedsKey(&held.Routes[0]))
	require.False(t, table.NeedsKey(&routing.Route{Public: true}))
	require.False(t, routing.NewTable(testDocument(), routing.KeySeed{}).NeedsKey(&held.Routes[0]), "no tenants, no keys")
}

// BenchmarkTenantOf looks a key up among 10,000 tenants of two keys each.
func BenchmarkTenantOf(b *testing.B) {
	const tenants = 10_000
	held := testDocument()
	for number := range tenants {
		held.Tenants = append(held.Tenants, routing.Tenant{
			Name: fmt.Sprint("tenant-", number), Keys: []string{fmt.Sprint("first-key-", number), fmt.Sprint("second-key-", number)},
		})
	}
	table := routing.NewTable(held, routing.KeySeed{1})
	b.ReportAllocs()
	for b.Loop() {
		if table.TenantOf("second-key-7777") == nil {
			b.Fatal("the key is not found")
		}
	}
}
