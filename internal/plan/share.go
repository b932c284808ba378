package plan

// sameBackingArray reports whether two slices of the same length are empty or
// start at the same element in memory. Plans are immutable and share unchanged
// slices with the previous plan, so this settles most comparisons of large slices.
func sameBackingArray[Element any](left, right []Element) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}
