# Shortcuts for Maven commands.

# Environment of the assigner that `make run` starts. The defaults run the example configuration on loopback.
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

# Benchmarks. Each prints lines of the form `name value unit`; with QUICK=1 a run takes under 40 s. Recorded results are in
# docs/bench/.
.PHONY: bench-classes bench-store bench-start bench-mixed bench-intake
bench-classes:
	mvn -q -B -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/bench.cp

bench-store: bench-classes
	java -Xmx2g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.store.StoreBench $(QUICK)
	java -Xmx1g -Dtinylog.level=off -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.server.CrashRecoveryBench $(QUICK)

# OLD: the jar of an earlier version, with its lib/ in the same directory. The time to the first pong is compared with it.
bench-start: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.server.StartBench $(OLD)

# OLD: the jar of an earlier version, with its lib/ in the same directory. One assigner of that version runs alongside one
# of this build. A run takes under 3 minutes.
bench-mixed: bench-classes
	java -Xmx1g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.scale.MixedBench $(OLD)

# Clients that misbehave, against an assigner with the deployed run line. ARGS: its options, which --help lists. A run takes
# under 4 minutes.
.PHONY: bench-clients
bench-clients: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.scale.ClientPressureBench $(ARGS)

bench-intake: bench-classes
	java -Xmx1g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.intake.IntakeBench $(QUICK)

# Scale benchmark of real and simulated assigners on loopback. ARGS: its options, which --help lists. ROOT: the build to
# measure. A run takes under 2 minutes with QUICK=1 and under 15 minutes otherwise.
.PHONY: scale
ROOT ?= .
scale: bench-classes
	java -Xmx2g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.scale.ScaleCommand --root $(ROOT) \
		--json target/scale.json --charts target/scale $(if $(QUICK),--quick) $(ARGS)

# Sources of the figures in docs/CAPACITY.md: the fleet model (for example ARGS="--requests-skew 1.2"), the rate of picks
# from a table, and the footprint of idle processes.
.PHONY: capacity capacity-pick capacity-floor
capacity: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.capacity.CapacityModel $(ARGS)

capacity-pick: bench-classes
	java -Xmx1g -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.capacity.PickBench $(ARGS)

capacity-floor: bench-classes
	java -cp target/classes:target/test-classes:$$(cat target/bench.cp) pearusher.capacity.IdleProcessBench $(ARGS)
