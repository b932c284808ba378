// Package textdelta keeps texts as differences. A delta is a list of copies
// from a base text and of inserted bytes, as in VCDIFF (RFC 3284) but by whole
// lines: Make finds them, Apply and Rebuild turn them back into the text byte
// for byte.
//
// A delta carries the length and the hash of its base and of its result, so
// that one which is damaged, or applied to another text, is an error and never
// a wrong text. The package has no I/O and no state.
package textdelta
