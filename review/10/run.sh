#!/bin/sh
# Plays the case; claim.txt describes it. Needs the build of deploy/system.toml and
# review/build-2.sh. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/trial ] && [ -x target/sequoiahollow ] || exit 2
exec target/trial crash-count review/10/record.txt
