package gang

import "math"

const (
	// speedGain is the weight of one observation.
	speedGain = 0.1
	// speedRange bounds one observation, as a binary order of magnitude, since
	// run times of one template also vary for reasons other than the worker.
	speedRange = 3
)

// Speeds learns the speeds of workers from run times. It is not safe for
// concurrent use.
type Speeds struct {
	logs map[string]float64
	sum  float64
}

// NewSpeeds returns speeds without observations.
func NewSpeeds() *Speeds { return &Speeds{logs: map[string]float64{}} }

// Observe records that work on the workers ran ratio times as fast as expected
// on a worker of speed 1.
func (s *Speeds) Observe(ratio float64, workers ...string) {
	if ratio <= 0 || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		return
	}
	seen := min(max(math.Log2(ratio), -speedRange), speedRange)
	for _, w := range workers {
		change := speedGain * (seen - s.logs[w])
		s.logs[w] += change
		s.sum += change
	}
}

// Speed returns the learned speed of a worker relative to the mean of all
// observed workers. Run times and speeds are learned from each other, so
// without this reference both could drift together.
func (s *Speeds) Speed(worker string) float64 {
	l, ok := s.logs[worker]
	if !ok {
		return 1
	}
	return math.Exp2(l - s.sum/float64(len(s.logs)))
}
