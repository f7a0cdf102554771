package gang

import "math"

const (
	// learningRate is the weight of one observation in the moving average.
	learningRate = 0.1
	// maxLogRatio limits the binary logarithm of one observation, because run
	// times of one template also vary for reasons other than the worker.
	maxLogRatio = 3
)

// Speeds estimates the speeds of workers from run times. It is not safe for
// concurrent use.
type Speeds struct {
	logSpeeds map[string]float64
	sum       float64
}

// NewSpeeds returns speeds without observations.
func NewSpeeds() *Speeds { return &Speeds{logSpeeds: map[string]float64{}} }

// Observe records that work on the given workers ran ratio times as fast as
// expected on a worker of speed 1.
func (s *Speeds) Observe(ratio float64, workers ...string) {
	if ratio <= 0 || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		return
	}
	observed := min(max(math.Log2(ratio), -maxLogRatio), maxLogRatio)
	for _, w := range workers {
		change := learningRate * (observed - s.logSpeeds[w])
		s.logSpeeds[w] += change
		s.sum += change
	}
}

// Speed returns the learned speed of a worker relative to the mean of all
// observed workers. Expected run times and speeds are estimated from each other,
// so both could drift together without this reference.
func (s *Speeds) Speed(worker string) float64 {
	l, ok := s.logSpeeds[worker]
	if !ok {
		return 1
	}
	return math.Exp2(l - s.sum/float64(len(s.logSpeeds)))
}
