package plan

// sameList reports whether two slices are the same elements in memory. A plan
// shares with the one before what did not change, and plans are never changed in
// place, so that most comparisons of large lists end here.
func sameList[Element any](left, right []Element) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}
