package entry

import (
	"context"
	"time"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/uptime"
)

const (
	// followWait is how long one call waits for a change of the configuration;
	// each answer confirms that the configuration is the newest.
	followWait = 800 * time.Millisecond
	// followRetry is the time between two tries.
	followRetry = 100 * time.Millisecond
)

// follow keeps the configuration until ctx ends. It never goes back to an
// older version.
func (e *Server) follow(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		begun := time.Now()
		wait := followWait
		if !e.ConfigFresh() {
			// Callers are refused until the answer confirms the configuration.
			wait = 0
		}
		next, err := e.services.Source.Next(ctx, e.version(), wait)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			e.log.Info("configuration source", "available", !failing, "version", e.version(), "error", err)
		}
		if err != nil {
			sleep(ctx, followRetry)
			continue
		}
		confirmed := begun
		if next != nil {
			e.adopt(next)
		} else {
			// The store looked until the end of the wait.
			confirmed = begun.Add(min(wait, time.Since(begun)))
		}
		stamp := uptime.At(confirmed)
		e.confirmed.Store(&stamp)
	}
	return ctx.Err()
}

func (e *Server) adopt(next Snapshot) {
	if next.Config().Version <= e.version() {
		return
	}
	e.log.Info("configuration in force", "version", next.Config().Version, "former", e.version())
	e.snapshot.Store(&next)
	e.group.SetConfig(uint64(next.Config().Version))
	if p := e.planner.Load(); p != nil {
		p.Wake()
	}
}

// version returns the version of the configuration in force, or 0.
func (e *Server) version() int64 {
	if s := e.Snapshot(); s != nil {
		return s.Config().Version
	}
	return 0
}

// Snapshot returns the configuration in force, or nil.
func (e *Server) Snapshot() Snapshot {
	if s := e.snapshot.Load(); s != nil {
		return *s
	}
	return nil
}

// catalogue returns the catalogue in force, or nil.
func (e *Server) catalogue() *control.Config {
	if s := e.Snapshot(); s != nil {
		return s.Config()
	}
	return nil
}

// ConfigFresh reports whether the configuration is recent enough to be acted on.
func (e *Server) ConfigFresh() bool {
	return e.confirmed.Load() != nil && e.ConfigAge() <= e.settings.MaxConfigAge
}

// ConfigAge returns the time since the configuration was last known to be
// the newest, time in which the machine was suspended included, or 0 if there
// is none.
func (e *Server) ConfigAge() time.Duration {
	if at := e.confirmed.Load(); at != nil {
		return at.Age()
	}
	return 0
}

const (
	// outageWaitFirst and outageWaitLast bound the wait that callers are told
	// while the store is away.
	outageWaitFirst = 1 * time.Second
	outageWaitLast  = 4 * time.Second
)

// RetryAfter returns after how long a caller may come back while the
// configuration cannot be confirmed. It grows with the outage, so that the few
// tries of a caller last through it.
func (e *Server) RetryAfter() time.Duration {
	return min(max(e.ConfigAge()-e.settings.MaxConfigAge, outageWaitFirst), outageWaitLast)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
