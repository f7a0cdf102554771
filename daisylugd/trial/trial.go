// Package trial tests daisylugd as separate processes under faults. It has
// tests only.
package trial
