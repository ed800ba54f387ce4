// Package pathbench measures the overhead that an entry host adds to a request.
// Its benchmarks run the daemon as a child process, so that the processor time
// and memory of a host can be read from its process. The fake engines and the
// load generator run in the test process.
package pathbench
