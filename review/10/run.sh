#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
number=10
case_program=target/review-2/case-$number
server=target/bin/toucanstand-server
[ -x "$case_program" ] && [ -x "$server" ] || exit 2
folder=$(mktemp -d)
timeout -k 1 100 "$case_program" "$server" "$folder" "review/$number/record.txt"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
