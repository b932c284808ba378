package keys

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func quiet() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func site(t *testing.T) (folder string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "site")
	require.NoError(t, Init(folder, time.Now()))
	return folder
}

func routerRequest() Request {
	return Request{
		Name: "router-1", Role: RoleRouter, Lifetime: time.Hour, Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.7")},
	}
}

func filesOf(folder, name string) Files {
	return Files{
		Authority:   filepath.Join(folder, AuthorityCertificateFile),
		Certificate: filepath.Join(folder, name+".crt"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

// TestNothingIsReplacedUnasked checks that neither an authority nor a
// certificate is written over, and that keys are for their owner's eyes.
func TestNothingIsReplacedUnasked(t *testing.T) {
	folder := site(t)
	require.ErrorIs(t, Init(folder, time.Now()), ErrExists)
	require.NoError(t, Issue(folder, routerRequest(), time.Now()))
	require.ErrorIs(t, Issue(folder, routerRequest(), time.Now()), ErrExists)
	renewed := routerRequest()
	renewed.Replace = true
	require.NoError(t, Issue(folder, renewed, time.Now()))
	for _, name := range []string{AuthorityKeyFile, "router-1.key"} {
		info, err := os.Stat(filepath.Join(folder, name))
		require.NoError(t, err)
		require.Zero(t, info.Mode().Perm()&0o077, name)
	}
	reloader, err := NewReloader(filesOf(folder, "router-1"), quiet())
	require.NoError(t, err)
	require.Equal(t, Identity{Name: "router-1", Role: RoleRouter}, reloader.Current().Identity)
}

// TestUnusableKeysAreRefused starts with keys that don't go together, and
// reloads such over good ones, which stay in use.
func TestUnusableKeysAreRefused(t *testing.T) {
	folder, elsewhere := site(t), site(t)
	require.NoError(t, Issue(folder, routerRequest(), time.Now()))
	require.NoError(t, Issue(elsewhere, routerRequest(), time.Now()))
	good, foreign := filesOf(folder, "router-1"), filesOf(elsewhere, "router-1")
	late := routerRequest()
	late.Name = "late"
	require.NoError(t, Issue(folder, late, time.Now().Add(-2*time.Hour)))
	for name, files := range map[string]Files{
		"of another site":     {Authority: good.Authority, Certificate: foreign.Certificate, Key: foreign.Key},
		"key of another":      {Authority: good.Authority, Certificate: good.Certificate, Key: foreign.Key},
		"no authority":        {Authority: good.Key, Certificate: good.Certificate, Key: good.Key},
		"out of date":         filesOf(folder, "late"),
		"file does not exist": {Authority: good.Authority, Certificate: good.Certificate, Key: good.Key + "x"},
	} {
		_, err := NewReloader(files, quiet())
		require.Error(t, err, name)
	}

	reloader, err := NewReloader(good, quiet())
	require.NoError(t, err)
	before := reloader.Current()
	whole, err := os.ReadFile(good.Certificate)
	require.NoError(t, err)
	for _, broken := range [][]byte{nil, whole[:len(whole)/2]} {
		require.NoError(t, os.WriteFile(good.Certificate, broken, 0o600))
		require.Error(t, reloader.Reload())
		require.Same(t, before, reloader.Current())
	}
	require.NoError(t, os.WriteFile(good.Certificate, whole, 0o600))
	require.NoError(t, reloader.Reload())
}

// TestAuthorityIsReplacedWithoutAStop follows the operators' page: while the
// file of authorities holds both, keys of either are good.
func TestAuthorityIsReplacedWithoutAStop(t *testing.T) {
	old, renewed := site(t), site(t)
	require.NoError(t, Issue(old, routerRequest(), time.Now()))
	require.NoError(t, Issue(renewed, routerRequest(), time.Now()))
	files := filesOf(old, "router-1")
	reloader, err := NewReloader(files, quiet())
	require.NoError(t, err)
	first := reloader.Current().Certificate.Leaf.SerialNumber
	move := func(from, to string, also ...string) {
		var text []byte
		for _, path := range append(also, from) {
			part, err := os.ReadFile(path)
			require.NoError(t, err)
			text = append(text, part...)
		}
		require.NoError(t, os.WriteFile(to, text, 0o600))
	}
	next := filesOf(renewed, "router-1")
	move(next.Authority, files.Authority, files.Authority)
	require.NoError(t, reloader.Reload())
	require.Equal(t, first, reloader.Current().Certificate.Leaf.SerialNumber)
	move(next.Key, files.Key)
	require.Error(t, reloader.Reload(), "between the two files the old pair stays")
	move(next.Certificate, files.Certificate)
	require.NoError(t, reloader.Reload())
	move(next.Authority, files.Authority)
	require.NoError(t, reloader.Reload())
	require.NotEqual(t, first, reloader.Current().Certificate.Leaf.SerialNumber)
}
