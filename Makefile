# Thin over Maven; each target is one line of the README.

# What `make run` tells the assigner: the example on loopback. Set others to run it elsewhere.
EDGE_NAME ?= n0
EDGE_LISTEN ?= 127.0.0.1:8080
EDGE_DISCOVERY ?= 127.0.0.1:8500
EDGE_CONFIG ?= docs/example.json
export EDGE_NAME EDGE_LISTEN EDGE_DISCOVERY EDGE_CONFIG

.PHONY: build test lint run

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B checkstyle:check@style test-compile

run: build
	exec java -jar target/pearusher.jar serve
