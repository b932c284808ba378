package quarantine_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
)

func TestFingerprintCoversWhatAServerReceives(t *testing.T) {
	base := func() *message.Request {
		return &message.Request{
			Method: "POST", Target: "/a/b?c=d", Host: "h", Body: []byte("body"), ID: "first",
			Header: message.Header{"Authorization": {"Bearer x"}, "Accept": {"*/*"}},
		}
	}
	again := base()
	again.ID, again.Header["Accept"] = "second", []string{"text/plain"}
	require.Equal(t, quarantine.FingerprintOf(base()), quarantine.FingerprintOf(again), "another try of the same request")
	for name, change := range map[string]func(*message.Request){
		"method":       func(r *message.Request) { r.Method = "PUT" },
		"target":       func(r *message.Request) { r.Target = "/a/b?c=e" },
		"host":         func(r *message.Request) { r.Host = "i" },
		"body":         func(r *message.Request) { r.Body = []byte("bodx") },
		"caller":       func(r *message.Request) { r.Header["Authorization"] = []string{"Bearer y"} },
		"no caller":    func(r *message.Request) { delete(r.Header, "Authorization") },
		"moved border": func(r *message.Request) { r.Host, r.Target = "h/", "a/b?c=d" },
		"caller moved to the body": func(r *message.Request) {
			delete(r.Header, "Authorization")
			r.Body = []byte("Bearer xbody")
		},
	} {
		changed := base()
		change(changed)
		require.NotEqual(t, quarantine.FingerprintOf(base()), quarantine.FingerprintOf(changed), name)
	}
}

func TestFingerprintRoundTripsAsJSON(t *testing.T) {
	fingerprint := quarantine.FingerprintOf(&message.Request{Method: "GET", Target: "/"})
	text, err := json.Marshal(fingerprint)
	require.NoError(t, err)
	var read quarantine.Fingerprint
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, fingerprint, read)
	require.Error(t, json.Unmarshal([]byte(`"12"`), &read))
	require.Error(t, json.Unmarshal([]byte(`"zz"`), &read))
}

func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "64 KiB": 64 << 10, "8 MiB": 8 << 20} {
		request := &message.Request{Method: "GET", Target: "/a/0123456789abcdef", Host: "host.example", Body: make([]byte, size)}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				quarantine.FingerprintOf(request)
			}
		})
	}
}
