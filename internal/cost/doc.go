// Package cost measures what one entry adds to the cost of its endpoints. It
// holds tests only; go test ./internal/cost -cost prints the tables of
// docs/measurements.md.
package cost
