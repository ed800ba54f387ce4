// Package docscheck holds the tests that compare docs/OPERATIONS.md with the code.
package docscheck
