package template

import (
	"context"
	"fmt"
	"testing"

	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

// BenchmarkChange changes one of the given number of teams and brings another
// instance up to date.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			ctx := context.Background()
			p := memory.New(memory.Config{})
			operator, reader := newCatalogue(p.Table), newCatalogue(p.Table)
			for i := range teams {
				if _, err := operator.PutTeam(ctx, benchTeam(i), 0); err != nil {
					b.Fatal(err)
				}
			}
			if err := reader.Refresh(ctx); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, err := operator.PutTeam(ctx, benchTeam(0), int64(i+1)); err != nil {
					b.Fatal(err)
				}
				if err := reader.Refresh(ctx); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			rows, _ := p.Table.Read(ctx, configKey)
			b.ReportMetric(float64(len(rows[0].Value)), "config-B")
			encoded, _ := reader.Snapshot().Encode()
			b.ReportMetric(float64(len(encoded))/float64(teams), "snapshot-B/team")
		})
	}
}

func benchTeam(i int) *schema.Team {
	return newTeam(fmt.Sprintf("team-%04d", i), func(t *schema.Team) {
		for _, centre := range []string{"helsinki-1", "helsinki-2", "helsinki-3"} {
			shape := &schema.Shape{Workers: 4, Accelerators: 8}
			t.Guarantees = append(t.Guarantees, &schema.Guarantee{Centre: centre, Shape: shape, Count: 2})
		}
	})
}
