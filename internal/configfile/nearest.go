package configfile

// Nearest returns the known name that is most similar to an unknown one, empty where none is similar.
func Nearest(name string, known []string) (nearest string) {
	least := 1 + len(name)/2
	for _, k := range known {
		if d := editDistance(name, k); d < least {
			least, nearest = d, k
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance: the bytes to insert, remove or change.
func editDistance(a, b string) int {
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := range len(a) {
		before := distances[0]
		distances[0] = i + 1
		for j := range len(b) {
			change := before
			if a[i] != b[j] {
				change++
			}
			before = distances[j+1]
			distances[j+1] = min(change, distances[j]+1, distances[j+1]+1)
		}
	}
	return distances[len(b)]
}
