package capacity

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// settlementInterval is the interval at which team balances are settled.
const settlementInterval = 30 * time.Second

// TestTeams measures the bytes between one daemon and the table during one
// settlement interval, by the number of teams, and prints the linear fits. The
// first size has one team, so that the configuration row is complete from the
// second size on.
func TestTeams(t *testing.T) {
	if os.Getenv(enabledEnv) == "" {
		t.Skip(enabledEnv + " is not set")
	}
	c := newDataCentre(t, 101, 16, 1)
	d := c.daemons[0]
	c.configureQuickRequests()
	var reads, commits []point
	created := 1
	for _, teams := range []int{1, 50, 100, 190} {
		for ; created < teams; created++ {
			c.put("http://"+d.api+"/v1/teams/"+teamName(created), map[string]any{
				"name": teamName(created), "templates": []string{"quote"}, "priority": 5, "weight": 1, "prepaid": 1e6,
			})
		}
		time.Sleep(settleDelay)
		before := c.sample(d)
		time.Sleep(settlementInterval)
		after := c.sample(d)
		rate := func(kind string) float64 {
			return float64(after.counts[kind].bytes-before.counts[kind].bytes) / after.at.Sub(before.at).Seconds()
		}
		reads = append(reads, point{float64(teams), rate("table read")})
		commits = append(commits, point{float64(teams), rate("table commit")})
	}
	fmt.Println("| role | mechanism | unit | measured (size: cost) | base + slope | residual | at design size | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	slope{role: "configuration, balances", mechanism: "template.Catalogue, balance.Account", unit: "B/s read", designSize: 190}.print(reads, loadAverage())
	slope{role: "balances", mechanism: "balance.Account", unit: "B/s committed", designSize: 190}.print(commits, loadAverage())
}
