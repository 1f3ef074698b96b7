#!/usr/bin/env bash
# Builds, checks and shows agaterun. See `meta/agaterun.sh help`.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
  cat <<'EOF'
Usage: meta/agaterun.sh COMMAND

  test      install packages, then run everything that CI runs
  demo      build, run the Cascade Lectern region on loopback, print figures
  install   install the Debian packages of meta/dependencies.txt
  build     build the preset given (debug, release, asan, tsan; default debug)
  unit      build debug and run the unit tests alone
  format    rewrite the sources with clang-format
  lint      check format and run clang-tidy
  models    check the Promela models, seeded faults included
EOF
}

say() { printf '\n== %s\n' "$*"; }

install_packages() {
  local missing=()
  local package
  while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done < meta/dependencies.txt
  if [ ${#missing[@]} -gt 0 ]; then
    say "installing ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
      --no-install-recommends "${missing[@]}" >/dev/null
  fi
}

build() {
  cmake --preset "$1" >/dev/null
  cmake --build "build/$1"
}

# Test suites that KNOWN-RED.txt names, joined by '|'.
known_red() {
  sed -e '/^#/d' -e 's/ *|.*//' -e '/^ *$/d' KNOWN-RED.txt | paste -sd '|'
}

# Runs the tests of a preset. Those that KNOWN-RED.txt names run as well and are
# printed, but fail the run only when they pass: then the entry is to go.
run_tests() {
  local preset=$1
  shift
  local red
  red=$(known_red)
  if [ -z "$red" ]; then
    ctest --test-dir "build/$preset" --output-on-failure --no-tests=error "$@"
    return
  fi
  ctest --test-dir "build/$preset" --output-on-failure --no-tests=error \
    -E "^($red)\$" "$@"
  say "known red ($preset)"
  if ctest --test-dir "build/$preset" --output-on-failure -R "^($red)\$"; then
    echo "KNOWN-RED.txt names suites that pass: $red; take them off" >&2
    return 1
  fi
}

# Suites in which threads meet; all others run on one thread.
threaded_suites=(node caller backend_server platform operator driver load)

# Builds and runs these suites alone under the thread sanitizer.
run_threaded_tests() {
  cmake --preset tsan >/dev/null
  cmake --build build/tsan --target "${threaded_suites[@]/%/_test}"
  local names
  names=$(IFS='|'; echo "${threaded_suites[*]}")
  TSAN_OPTIONS="halt_on_error=1 suppressions=$PWD/meta/tsan.supp" \
    ctest --test-dir build/tsan --output-on-failure --no-tests=error \
    -R "^($names)\$"
}

sources() { git ls-files '*.h' '*.cc'; }

lint() {
  say "format"
  sources | xargs clang-format --dry-run -Werror
  say "lint"
  cmake --preset debug >/dev/null
  git ls-files '*.py' | xargs python3 -c \
    'import ast, sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]'
  git ls-files '*.cc' | xargs -P "$(nproc)" -n 2 \
    clang-tidy --quiet -p build/debug 2> >(grep -v 'warnings generated' >&2 || true)
}

check_models() {
  say "models"
  if [ -x models/check.sh ]; then
    models/check.sh
  fi
}

run_all() {
  install_packages
  lint
  say "tests with address and undefined behaviour sanitizers"
  build asan
  run_tests asan
  say "threads with the thread sanitizer"
  run_threaded_tests
  check_models
  say "known red"
  # Entries behind '#' are days of the users' bench, and cases of suites that
  # run as usual.
  grep -E '^(# )?[^|]+\|' KNOWN-RED.txt || echo "none"
}

case "${1:-help}" in
  test) run_all ;;
  demo) install_packages; build release; exec meta/demo.sh ;;
  install) install_packages ;;
  build) build "${2:-debug}" ;;
  unit) build debug; run_tests debug ;;
  format) sources | xargs clang-format -i ;;
  lint) lint ;;
  models) check_models ;;
  help|--help|-h) usage ;;
  *) usage >&2; exit 2 ;;
esac
