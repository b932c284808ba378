//go:build !race

package raftlog

// damageStride is the step between damaged bytes.
const damageStride = 3
