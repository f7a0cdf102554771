package capacity

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// settlement is the interval at which balances are settled.
const settlement = 30 * time.Second

// TestTeams measures the bytes between one daemon and the table by the number
// of teams, over one settlement of balances, and prints the fits. The first
// size has one team, so that the row of the configuration is complete after the
// second.
func TestTeams(t *testing.T) {
	if os.Getenv(enabled) == "" {
		t.Skip(enabled + " is not set")
	}
	c := newCentre(t, 101, 16, 1)
	d := c.daemons[0]
	c.configureQuick()
	var reads, commits []point
	created := 1
	for _, teams := range []int{1, 50, 100, 190} {
		for ; created < teams; created++ {
			c.put("http://"+d.api+"/v1/teams/"+team(created), map[string]any{
				"name": team(created), "templates": []string{"quote"}, "priority": 5, "weight": 1, "prepaid": 1e6,
			})
		}
		time.Sleep(settle)
		before := c.sample(d)
		time.Sleep(settlement)
		after := c.sample(d)
		rate := func(kind string) float64 {
			return float64(after.counts[kind].bytes-before.counts[kind].bytes) / after.at.Sub(before.at).Seconds()
		}
		reads = append(reads, point{float64(teams), rate("table read")})
		commits = append(commits, point{float64(teams), rate("table commit")})
	}
	fmt.Println("| role | mechanism | unit | measured (size: cost) | base + slope | residual | at design size | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	slope{role: "configuration, balances", mechanism: "template.Catalogue, balance.Account", unit: "B/s read", design: 190}.print(reads, load())
	slope{role: "balances", mechanism: "balance.Account", unit: "B/s committed", design: 190}.print(commits, load())
}
