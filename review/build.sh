#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy
# file: the project's own stand-in for the platform's store, and the small ones
# of stand-ins/. Everything goes to target/review.
set -eu

cd "$(dirname "$0")/.."
out=target/review
cmake -S . -B "$out/project" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$out/project" -j4 --target fake-store -- --no-print-directory
for name in runner caller load pair; do
	cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -o "$out/$name" \
		"review/stand-ins/$name.c" -pthread
done
