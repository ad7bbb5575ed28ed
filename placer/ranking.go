package placer

import "fmt"

// candidate is a worker with its cost for a task; lower is better.
type candidate struct {
	worker *Worker
	score  float64
}

// ranking keeps up to limit of the cheapest candidates, sorted by cost. Among
// candidates of equal cost, those added earlier come first.
type ranking struct {
	limit      int
	candidates []candidate
}

func newRanking(limit int) *ranking {
	return &ranking{limit: limit, candidates: make([]candidate, 0, limit+1)}
}

func (k *ranking) add(c candidate) {
	if len(k.candidates) == k.limit && c.score >= k.candidates[k.limit-1].score {
		return
	}
	i := len(k.candidates)
	for i > 0 && c.score < k.candidates[i-1].score {
		i--
	}
	k.candidates = append(k.candidates, candidate{})
	copy(k.candidates[i+1:], k.candidates[i:])
	k.candidates[i] = c
	k.candidates = k.candidates[:min(len(k.candidates), k.limit)]
}

func (k *ranking) best() *candidate {
	if len(k.candidates) == 0 {
		return nil
	}
	return &k.candidates[0]
}

// rejected describes all candidates but the best.
func (k *ranking) rejected() []string {
	var out []string
	for _, c := range k.candidates[1:] {
		out = append(out, fmt.Sprintf("%s: cost %.3f", c.worker.Name, c.score))
	}
	return out
}
