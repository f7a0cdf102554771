// Package trial tests daisylugd as separate processes with injected faults. It
// contains only tests.
package trial
