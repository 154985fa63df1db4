#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source" -lboost_json
done
