#!/usr/bin/env bash
# Plays the case once. Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/review/cases" ] && [ -x "$root/target/release/banyannotch-gateway" ] || exit 2
exec "$root/target/review/cases" history "$root" "$here"
