// Package docscheck holds the tests that compare docs/operations.md with the code.
package docscheck
