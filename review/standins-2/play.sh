#!/bin/sh
# Plays a case: play.sh NAME FOLDER. Exits with 1 if a rule was broken, 0 if it held, 2 if it could not run.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
classes=$root/review/standins-2/classes
run=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ] || [ ! -d "$classes" ] || [ ! -f "$root/target/pearusher.jar" ]; then
  echo "build the project and review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
trap 'kill "$player" 2>/dev/null' INT TERM HUP
java -Xmx512m -cp "$classes" standin.Main "$name" "$root" "$run" "$temporary" "$folder/record.txt" &
player=$!
wait "$player"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
