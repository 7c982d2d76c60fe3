package scheduler_test

import (
	"testing"
)

func TestModelCapacity(t *testing.T) {
	for _, f := range []float64{1.1, 1.3, 2} {
		t.Log("factor", f)
		a, b := steady(f).compare(t)
		t.Log(a.answered()/60, b.answered()/60)
	}
}

func (m *model) answered() int {
	n := 0
	for _, c := range m.result {
		n += c.inTime + c.late
	}
	return n
}
