package memory_test

import (
	"testing"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/platform/platformtest"
)

func TestContract(t *testing.T) {
	platformtest.Run(t, func(_ *testing.T, p *memory.Platform) platform.Platform {
		return p.Services()
	})
}
