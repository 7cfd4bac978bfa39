#!/bin/sh
# Plays the scenario `dark` of review/standins-2. TROUBLE=0 plays it without the loss of a worker.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/standins-2
[ -x "$program" ] && [ -x target/release/oriolehitch ] || exit 2
exec "$program" dark review/4
