#!/bin/sh
# Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves
# the disruption out. review/build-2.sh and the build of deploy/system.toml come first.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/stand -a -x target/release/rattanstall-front || exit 2
exec target/review-2/stand case wrong-block review/7/record.txt
