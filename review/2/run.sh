#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
logs=$(mktemp -d) || exit 2
trap 'rm -rf "$logs"' EXIT
[ -x target/bin/bronzeshed-gateway ] && [ -x target/review/case_silent_store ] || exit 2
timeout -k 2 115 target/review/case_silent_store target/bin/bronzeshed-gateway "$folder" "$logs"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
