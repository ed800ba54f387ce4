GO ?= go
# Duration of each fuzz target; three targets run in parallel.
FUZZTIME ?= 30s
# Number of cases for each property test; the seeds differ between runs.
RAPIDCHECKS ?= 300
ADDR ?= 127.0.0.1:8080

.PHONY: run test lint measure bench fuzz capacity build soak

build:
	$(GO) build ./...

run:
	$(GO) build -o bin/corianderlever ./cmd/corianderlever
	exec ./bin/corianderlever demo -addr $(ADDR)

lint:
	@files=$$(gofmt -l .); if [ -n "$$files" ]; then echo "gofmt would change: $$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Tests listed in KNOWN-RED.txt are printed and skipped. The measurements run
# without the race detector: each runs in virtual time in one goroutine, so the
# detector finds nothing there and makes them ten times slower.
RED := $(shell sed -n 's/^red: //p' KNOWN-RED.txt)
empty :=
space := $(empty) $(empty)
SKIP := $(if $(RED),-skip '^($(subst $(space),|,$(RED)))$$')

# Property tests draw their cases from a fixed seed here, so that the same code gets the same
# verdict; make fuzz draws new ones.
RAPIDSEED ?= 1
PROPERTY = $$(grep -rl --include='*_test.go' 'pgregory.net/rapid' . | xargs -n 1 dirname | sort -u)

test: lint
	@echo "known red, passed over: $(RED)"
	$(GO) test $(SKIP) -race -timeout 8m $$($(GO) list ./... | grep -v /internal/measure | grep -vxF "$$($(GO) list $(PROPERTY))")
	$(GO) test $(SKIP) -race -timeout 8m $$($(GO) list $(PROPERTY) | grep -v /internal/measure) -rapid.seed=$(RAPIDSEED)
	$(GO) test -timeout 4m ./internal/measure/...

measure:
	$(GO) run ./internal/cmd/measure

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

fuzz:
	GO=$(GO) .ci/fuzz $(FUZZTIME) $(RAPIDCHECKS)

capacity:
	$(GO) run ./internal/cmd/capacity

# Runs the fault soak test with SEEDS consecutive seeds starting at SEED. Faults
# are injected into HOSTS processes for TIME with each seed, under the load of
# CALLERS. SOAK=TestMaintenanceLosesNoCall limits the faults to planned changes,
# SOAK=TestUndisturbedHostsFollowChanges to a few hosts while a key is taken away, and
# SOAK=TestStreamsRunAtOneEndpoint to silent paths between hosts.
SEED ?= 1
SEEDS ?= 1
TIME ?= 10s
HOSTS ?= 5
CALLERS ?= 8
SOAK ?= TestSoak
soak:
	$(GO) test -count=1 -timeout 0 -v -run '^$(SOAK)$$' ./internal/soak -seed $(SEED) -seeds $(SEEDS) -time $(TIME) -hosts $(HOSTS) -callers $(CALLERS)
