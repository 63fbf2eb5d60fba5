# Targets: build, test, demo, demo-contracts, soak, spec, fuzz, bench, replay, capacity, lint, cover, clean.

GO          ?= go
BIN         := bin
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
MODULES     := $(shell $(GO) list -m -f '{{.Dir}}' 2>/dev/null)
PACKAGES    := $(addsuffix /...,$(MODULES))

# Tests that fail because of a known fault, listed in KNOWN-RED.txt. They are skipped
# here and run separately by `make known-red`.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
SKIP      := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Timeout for the tests of one package; it aborts a package that hangs. With the race detector
# bench/replay takes 25 minutes of processor time, and took 13.5 minutes beside other work.
TEST_TIMEOUT ?= 25m
# Number of packages tested in parallel; more of them overload a small machine and
# delay timing-sensitive tests.
TEST_PACKAGES ?= 4
# Cases per property in `make fuzz`, the timeout for one package's properties, and the
# duration of one fuzz test.
FUZZ_CHECKS  ?= 5000
FUZZ_TIMEOUT ?= 20m
FUZZ_TIME    ?= 30s

.PHONY: build test unit alone lint spec demo demo-contracts soak fuzz bench replay capacity known-red cover clean

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/almondstand almondstand.dev/entry/cmd/almondstand
	$(GO) build -o $(BIN)/almondguard almondstand.dev/guard/cmd/almondguard
	$(GO) build -o $(BIN)/standin almondstand.dev/standin/cmd/standin
	$(GO) build -o $(BIN)/demo almondstand.dev/standin/cmd/demo

test: lint alone unit spec

# The loads of bench/replay take all processors for minutes, so they run after the tests of real
# processes, whose stand-ins would answer late beside them.
unit:
	$(GO) test -race -timeout $(TEST_TIMEOUT) -p $(TEST_PACKAGES) $(SKIP) $(filter-out %/bench/...,$(PACKAGES))
	$(GO) test -race -timeout $(TEST_TIMEOUT) -p $(TEST_PACKAGES) $(SKIP) $(filter %/bench/...,$(PACKAGES))

# Each module must build on its own, without the Go workspace.
alone:
	@for m in $(MODULES); do \
		(cd $$m && GOWORK=off $(GO) build ./...) || { echo "module $$m doesn't build alone"; exit 1; }; \
	done

lint:
	@unformatted=$$(gofmt -l $(MODULES)); \
	if [ -n "$$unformatted" ]; then echo "run gofmt -w on:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) run $(STATICCHECK) $(PACKAGES)

spec:
	$(MAKE) -C spec check

# Runs entries and guards on the operators' platform with a job of 100 tasks, and prints
# the job's events.
demo: build
	$(GO) run almondstand.dev/e2e/cmd/almonddemo

# Runs the product's own API for callers and operators, with contracts in a store.
demo-contracts: build
	$(BIN)/demo -bin $(BIN)

# Injects random faults into real processes; the report of a failing seed is in out/soak.
# For example: make soak SOAK="--seeds 50 --jobs 4", or SOAK="--seed 17 --length 20s".
SOAK ?= --minutes 3 --jobs 3
soak: build
	$(GO) run almondstand.dev/e2e/cmd/almondsoak --bin $(BIN) $(SOAK)

# Runs the property tests with many more cases, from a new seed each time, and then the
# fuzz tests.
fuzz:
	@for p in $$(grep -rl 'pgregory.net/rapid' --include='*_test.go' $(MODULES) | xargs -n1 dirname | sort -u); do \
		echo "fuzz $$p"; \
		(cd $$p && $(GO) test -timeout $(FUZZ_TIMEOUT) $(SKIP) . -rapid.checks=$(FUZZ_CHECKS) -rapid.seed=$$(date +%s%N)) || exit 1; \
	done
	@for p in $$(grep -rl '^func Fuzz' --include='*_test.go' $(MODULES) | xargs -n1 dirname | sort -u); do \
		echo "fuzz $$p"; \
		(cd $$p && $(GO) test -run '^$$' -fuzz . -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x .) || exit 1; \
	done

# Runs all experiments one after another, about seven minutes, with the results as JSON in
# out/bench. Variants that only a design note compares are excluded; run them with
# `almondbench run`.
BENCH_EXPERIMENTS ?= $(filter-out bench/experiments/bare-50.json bench/experiments/bare-95.json \
	bench/experiments/bare-80-8.json,$(wildcard bench/experiments/*.json))

bench:
	@mkdir -p out/bench
	$(GO) run almondstand.dev/bench/cmd/almondbench run --out out/bench $(BENCH_EXPERIMENTS)

# Replays loads in simulated time and compares the results of the scheduling policies for
# callers. For example: make replay REPLAY="burst --seed 3".
replay:
	$(GO) run almondstand.dev/bench/cmd/almondreplay $(REPLAY)

# Regenerates and prints the tables of docs/CAPACITY.md from the sweeps in journal/.
capacity:
	$(GO) run almondstand.dev/bench/cmd/almondcapacity

# Runs the tests listed in KNOWN-RED.txt; remove a test that passes from the list.
known-red:
	@if [ -n '$(KNOWN_RED)' ]; then $(GO) test -timeout $(TEST_TIMEOUT) -run '^($(KNOWN_RED))$$' $(PACKAGES) || true; fi

cover:
	$(GO) test -coverprofile=$(BIN)/cover.out $(SKIP) $(PACKAGES)
	$(GO) tool cover -func=$(BIN)/cover.out | tail -1

clean:
	rm -rf $(BIN) out
