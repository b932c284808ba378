package gateway_test

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/settings"
)

// TestEachPartHasASwitch guards against a part that can't be switched off, a setting that switches
// another part, and a part that is off by default.
func TestEachPartHasASwitch(t *testing.T) {
	seed := map[string]any{"seeds": []string{"127.0.0.1:7000"}}
	options := gateway.Options{}
	require.NoError(t, settings.Fill(seed, &options))
	enabled := reflect.ValueOf(options.Parts())
	for index := range enabled.NumField() {
		require.True(t, enabled.Field(index).Bool(), enabled.Type().Field(index).Name)
	}
	for key, part := range map[string]string{
		"load-reports": "LoadReports", "admission": "Admission", "reservations": "Reservations", "tenant-shares": "TenantShares",
		"class-order": "ClassOrder", "shared-conditions": "SharedConditions", "resend-refused": "ResendRefused",
	} {
		changed := gateway.Options{}
		require.NoError(t, settings.Fill(map[string]any{key: "off"}, &changed))
		without := reflect.ValueOf(changed.Parts())
		for index := range without.NumField() {
			name := without.Type().Field(index).Name
			require.Equal(t, name != part, without.Field(index).Bool(), "%s with %s off", name, key)
		}
		require.ErrorContains(t, settings.Fill(map[string]any{key: "maybe"}, &gateway.Options{}), key)
	}
}
