// Package textdelta encodes a text as a delta from a base text. A delta is a list of
// copy and insert instructions, as in VCDIFF (RFC 3284) but line by line. Make
// computes a delta, Apply and Rebuild restore the text byte for byte.
//
// A delta contains the length and hash of its base and of its result, so applying a
// corrupt delta, or one for another base, is an error and never yields a wrong text.
// The package has no I/O and no state.
package textdelta
