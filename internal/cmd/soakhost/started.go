package main

import "fmt"

// The line tells the soak that all packages are initialized, so that signals are handled.
func init() { fmt.Println("soakhost: initialized") }
