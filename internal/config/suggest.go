package config

// nearest returns the known name with the smallest edit distance from name, in bytes. The distance must not exceed 2 or a third of the
// name's length, whichever is larger. If no known name is that close, nearest returns "".
func nearest(name string, known []string) string {
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two names in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
