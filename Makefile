# Thin over Maven; each target is one line of the README.

# What `make run` tells the assigner: the example on loopback. Set others to run it elsewhere.
EDGE_NAME ?= n0
EDGE_LISTEN ?= 127.0.0.1:8080
EDGE_DISCOVERY ?= 127.0.0.1:8500
EDGE_CONFIG ?= docs/example.json
export EDGE_NAME EDGE_LISTEN EDGE_DISCOVERY EDGE_CONFIG

.PHONY: build test lint format run

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B checkstyle:check@style spotless:check@format test-compile

format:
	mvn -q -B spotless:apply

run: build
	exec java -jar target/pearusher.jar serve

# Measurements, `name value unit` a line; QUICK=1 takes under 40 s. The figures kept are in docs/bench/.
.PHONY: bench-classes bench-store bench-start bench-mixed bench-intake
bench-classes:
	mvn -q -B -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/bench.cp

bench-store: bench-classes
	java -Xmx2g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.store.StoreBench $(QUICK)
	java -Xmx1g -Dtinylog.level=off -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.server.CrashRecoveryBench $(QUICK)

# OLD: the jar of an earlier version beside its lib/, to which the time to the first pong is compared.
bench-start: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.server.StartBench $(OLD)

# OLD: the jar of an earlier version beside its lib/, of which an assigner runs beside one of this build; under 3 minutes.
bench-mixed: bench-classes
	java -Xmx1g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.scale.MixedBench $(OLD)

bench-intake: bench-classes
	java -Xmx1g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.intake.IntakeBench $(QUICK)

# Assigners, real and simulated, at a size, on loopback; ARGS are its options: --help tells them. QUICK=1 takes under two
# minutes, the whole mix under fifteen; ROOT is the build that is measured.
.PHONY: scale
ROOT ?= .
scale: bench-classes
	java -Xmx2g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.scale.ScaleCommand --root $(ROOT) \
		--json target/scale.json --charts target/scale $(if $(QUICK),--quick) $(ARGS)

# What docs/CAPACITY.md stands on: the model of the fleet (ARGS="--requests-skew 1.2"), picks by a table, idle processes.
.PHONY: capacity capacity-pick capacity-floor
capacity: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.capacity.CapacityModel $(ARGS)

capacity-pick: bench-classes
	java -Xmx1g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.capacity.PickBench $(ARGS)

capacity-floor: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.capacity.IdleProcessBench $(ARGS)
