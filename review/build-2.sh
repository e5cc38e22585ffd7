#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2/.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/standin-2"
go build -o "$root/target/review-2/standin2" .
