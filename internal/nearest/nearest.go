// Package nearest finds the known name closest to a mistyped one.
package nearest

// maxDistance is the largest edit distance at which a name is suggested.
const maxDistance = 3

// Name returns the known name with the smallest edit distance to the word. It returns false if
// even that distance is too large for a typing error.
func Name(word string, known []string) (string, bool) {
	best, bestDistance := "", min(maxDistance, (len(word)+1)/2)+1
	for _, candidate := range known {
		if difference := len(candidate) - len(word); difference >= bestDistance || -difference >= bestDistance {
			continue
		}
		if distance := editDistance(word, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance between two words, in bytes.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for index := range row {
		row[index] = index
	}
	for i := 1; i <= len(left); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(right); j++ {
			cost := 1
			if left[i-1] == right[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(right)]
}
