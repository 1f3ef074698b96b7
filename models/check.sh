#!/usr/bin/env bash
# Checks every model, and that the checker finds each seeded fault.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Prints the number of errors that an exhaustive search finds.
errors_of() {
  local model=$1
  shift
  rm -rf "$work/run"
  mkdir "$work/run"
  cd "$work/run"
  spin -a "$@" "$model" >spin.log 2>&1 || { cat spin.log >&2; echo "-1"; return; }
  cc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c >cc.log 2>&1 || { cat cc.log >&2; echo "-1"; return; }
  timeout 60 ./pan -m1000000 >pan.log 2>&1 || { echo "-1"; return; }
  if grep -q 'max search depth too small\|out of memory' pan.log; then
    echo "-1"
    return
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

for model in "$here"/*.pml; do
  name=$(basename "$model" .pml)
  errors=$(errors_of "$model")
  states=$(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' "$work/run/pan.log" || true)
  if [ "$errors" = 0 ]; then
    echo "$name: holds ($states states)"
  else
    echo "$name: FAILED (errors: $errors)"
    failed=1
  fi
  for fault in $(sed -n 's/.*faults: \([A-Z_ ]*\).*/\1/p' "$model"); do
    errors=$(errors_of "$model" "-D$fault")
    if [ "$errors" -gt 0 ]; then
      echo "$name: $fault is found"
    else
      echo "$name: $fault is NOT found (errors: $errors)"
      failed=1
    fi
  done
done
exit "$failed"
