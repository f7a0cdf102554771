package batch

import (
	"math"
	"testing"
)

func TestCountIn(t *testing.T) {
	const most = math.MaxInt64
	for _, tt := range []struct {
		name           string
		need, capacity Resources
		limit, want    int
	}{
		{"scarcest resource", Resources{1000, 2000, 1}, Resources{64000, 10000, 8}, 100, 5},
		{"limit", Resources{1000, 2000, 1}, Resources{64000, 131072, 8}, 3, 3},
		{"nothing needed", Resources{}, Resources{}, 7, 7},
		{"overcommitted", Resources{MilliCPU: 1}, Resources{-5, 10, 10}, 7, 0},
		{"too large", Resources{MilliCPU: 11}, Resources{10, 10, 10}, 7, 0},
		{"negative limit", Resources{MilliCPU: 1}, Resources{10, 10, 10}, -1, 0},
		{"largest capacity", Resources{7000, 11000, 8}, Resources{most, most, most}, 4096, 4096},
	} {
		if got := tt.need.CountIn(tt.capacity, tt.limit); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
