package balance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// BenchmarkSettle settles one interval of 8 tasks on each of 100 workers, with
// a report every 10 s, for the given number of teams.
func BenchmarkSettle(b *testing.B) {
	for _, teams := range []int{4, 40, 400} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			p := memory.New(memory.Config{})
			a := New(p.Table, DefaultOptions("a"))
			setTeams(a, teams)
			var sequence uint64
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for i := range teams {
					a.SetRunning(teamName(i), 8, time.Now())
				}
				reports := intervalReports(&sequence, teams)
				for i := range 100 {
					a.AddUsage(fmt.Sprintf("w%03d", i), reports[0].Sequence-1, reports)
				}
				if err := a.Settle(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			commits := p.Table.Counts().Commits
			b.ReportMetric(float64(commits)/float64(b.N), "transactions/interval")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(a.teams)), "ns/team")
		})
	}
}

// BenchmarkAdmit measures Admit for the given number of teams.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{4, 40, 400} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			p := memory.New(memory.Config{})
			a := New(p.Table, DefaultOptions("a"))
			setTeams(a, teams)
			if err := a.Settle(context.Background()); err != nil {
				b.Fatal(err)
			}
			names := make([]string, teams)
			for i := range names {
				names[i] = teamName(i)
			}
			now := time.Now()
			b.ReportAllocs()
			for i := range b.N {
				if err := a.Admit(names[i%teams], 0, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%04d", i) }

func setTeams(a *Account, n int) {
	var teams []Team
	for i := range n {
		teams = append(teams, Team{Name: teamName(i), Prepaid: 1e12})
	}
	a.SetTeams(teams)
}

// intervalReports returns the reports of one worker in one interval.
func intervalReports(sequence *uint64, teams int) []platform.UsageReport {
	var reports []platform.UsageReport
	for i := range 8 * int(settlementInterval/reportInterval) {
		*sequence++
		team := teamName((int(*sequence) + i) % teams)
		reports = append(reports, platform.UsageReport{Sequence: *sequence, Team: team, Seconds: 10})
	}
	return reports
}
