#!/usr/bin/env bash
# With TROUBLE=0 the disruption is left out.
TROUBLE="${TROUBLE:-1}" exec node "$(dirname "$0")/case.mjs"
