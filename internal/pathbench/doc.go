// Package pathbench measures what an entry host adds to a request. Its
// benchmarks run the daemon as a child process, so that the processor time and
// memory of a host are those of its process, and run the stand-ins and the load
// in the process of the test.
package pathbench
