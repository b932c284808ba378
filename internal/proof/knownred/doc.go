// Package knownred holds the tests of the rule by which scripts/unit.sh passes over the
// tests that KNOWN-RED.txt lists, and over no others.
package knownred
