package main

import "testing"

func TestRecordNamesNoPathOfTheMachine(t *testing.T) {
	for line, want := range map[string]string{
		"\t/home/x/project/internal/gateway/loop.go:200 +0x51":                  "\tinternal/gateway/loop.go:200 +0x51",
		"\t/opt/go/src/sync/waitgroup.go:251 +0x45":                             "\twaitgroup.go:251 +0x45",
		"goroutine 86 [running]:":                                               "goroutine 86 [running]:",
		"github.com/martenstage/martenstage/internal/gateway.(*loop).send(0x1)": "github.com/martenstage/martenstage/internal/gateway.(*loop).send(0x1)",
	} {
		if got := withoutMachine(line); got != want {
			t.Errorf("%q is recorded as %q", line, got)
		}
	}
}
